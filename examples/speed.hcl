# How many commands a second the simulated driver plays on one core: `vetchkeel lab run examples/speed.hcl`
experiment = "speed"
about      = "5 routers by 12 members, 14,500 commands a second for 60 s"
length     = "60s"

fleet {
  sets    = 3
  members = 4
  routers = 5
  machine "std" {
    cores = 8
    queue = 200
  }
  copying {
    apply = "500us"
  }
}

traffic {
  load     = 0.6
  sessions = 10000
}

command_group "look" {
  share   = 0.7
  access  = "bounded"
  bound   = "300ms"
  work    = lognormal("4ms", 0.8)
  target  = "250ms"
  timeout = "1s"
}

command_group "order" {
  share   = 0.2
  access  = "write"
  work    = lognormal("4ms", 0.6)
  target  = "500ms"
  timeout = "3s"
}

command_group "any" {
  share   = 0.1
  access  = "any"
  work    = lognormal("4ms", 0.6)
  target  = "500ms"
  timeout = "3s"
}
