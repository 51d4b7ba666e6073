# A fleet to plan with: `vetchkeel plan limit --fleet examples/plan.hcl`
fleet {
  zones   = ["north", "south"]
  sets    = 4
  members = 3
  routers = 3
  machine "std" {
    cores = 4
    queue = 64
  }
}

# What a router has, and what a command costs it.
router {
  cores        = 1
  memory_mb    = 192
  descriptors  = 1024
  command_cost = "150us"
}

traffic {
  rate = 1200
}

command_group "look" {
  share   = 0.5
  access  = "bounded"
  bound   = "300ms"
  work    = lognormal("20ms", 0.8)
  target  = "250ms"
  timeout = "1s"
}

command_group "any" {
  share   = 0.25
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
