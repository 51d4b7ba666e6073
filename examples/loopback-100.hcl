# A hundred members and 2,000 commands a second on loopback: what four cores carry.
experiment = "loopback-100"
about      = "100 members, 4 routers, 2,000 commands a second"
driver     = "loopback"
length     = "20s"
seeds      = [1]

fleet {
  zones   = ["north", "south"]
  sets    = 25
  members = 4
  routers = 4
  machine "std" {
    cores = 4
  }
}

traffic {
  rate = 2000
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
  share   = 0.2
  access  = "any"
  work    = lognormal("20ms", 0.8)
  target  = "250ms"
  timeout = "1s"
}

command_group "order" {
  share      = 0.2
  access     = "write"
  work       = lognormal("15ms", 0.6)
  target     = "500ms"
  timeout    = "3s"
  benefit    = 6
  late_share = 0.5
}

trouble "crash" {
  from    = "6s"
  until   = "11s"
  members = [0, 4, 9]
}
