# One of six that both drivers play: do they agree? `docs/measured/agreement.md`
experiment = "heavy-tail"
about      = "a heavy tail of work"
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
  load = 0.6
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
  work    = heavy("20ms", 1.6)
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
