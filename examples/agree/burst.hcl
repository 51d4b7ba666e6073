# One of six that both drivers play: do they agree? `docs/measured/agreement.md`
experiment = "burst"
about      = "twice the traffic and replicas that apply slowly"
length     = "30s"
seeds      = [1, 2, 3, 4, 5]

fleet {
  zones   = ["north", "south"]
  sets    = 2
  members = 3
  routers = 3
  checks  = "wait"
  machine "std" {
    cores = 4
    queue = 60
  }
}

traffic {
  rate = 200
}

command_group "look" {
  share   = 0.6
  access  = "bounded"
  bound   = "300ms"
  work    = lognormal("20ms", 0.8)
  target  = "250ms"
  timeout = "1s"
}

command_group "any" {
  share   = 0.15
  access  = "any"
  work    = lognormal("20ms", 0.8)
  target  = "250ms"
  timeout = "1s"
}

command_group "order" {
  share      = 0.25
  access     = "write"
  work       = lognormal("15ms", 0.6)
  target     = "500ms"
  timeout    = "3s"
  benefit    = 6
  late_share = 0.5
}

trouble "burst" {
  from  = "8s"
  until = "16s"
  times = 2
}

trouble "slow_apply" {
  from  = "8s"
  until = "20s"
  part  = 0.5
  of    = "replicas"
  times = 8
}
