# One of six that both drivers play: do they agree? `docs/measured/agreement.md`
experiment = "slow"
about      = "a third of the members run four times slower"
length     = "30s"
seeds      = [1, 2, 3, 4, 5]

fleet {
  zones   = ["north", "south"]
  sets    = 3
  members = 3
  routers = 3
  checks  = "wait"
  machine "std" {
    cores = 4
    queue = 60
  }
}

traffic {
  rate = 300
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

trouble "slow" {
  from    = "8s"
  until   = "20s"
  members = [1, 3, 8]
  times   = 4
}
