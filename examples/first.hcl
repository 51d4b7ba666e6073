# A first look: two sets of three members in two zones, two routers, and a primary that dies.
# On loopback: the real router processes, emulated members, real sockets. `vetchkeel lab run examples/first.hcl`
experiment = "first"
about      = "a primary dies for four seconds under a light load"
driver     = "loopback"
length     = "12s"
seeds      = [1]

fleet {
  zones   = ["north", "south"]
  sets    = 2
  members = 3
  routers = 2
  machine "std" {
    cores = 4
    queue = 60
  }
}

traffic {
  rate = 150
}

command_group "look" {
  share   = 0.7
  access  = "bounded"
  bound   = "300ms"
  work    = lognormal("20ms", 0.8)
  target  = "250ms"
  timeout = "1s"
}

command_group "order" {
  share      = 0.3
  access     = "write"
  work       = lognormal("15ms", 0.6)
  target     = "500ms"
  timeout    = "3s"
  benefit    = 6
  late_share = 0.5
}

trouble "crash" {
  from    = "4s"
  until   = "8s"
  members = [0]
}
