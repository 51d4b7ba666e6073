# One control machine (a stand-in): `vetchkeel-control deploy/control.hcl`. See docs/configuration.md.
control {
  # Its name, its own in the fleet and kept over restarts, and where routers and machines reach it, by TCP.
  name    = "control-1"
  address = "127.0.0.1:7600"

  # Published at SIGHUP, if this machine writes: a JSON object as `settings` in a router's configuration.
  document = "settings.json"

  # What it promised, holds and released. A keeper whose file is lost does not count until it has caught up.
  keep = "/var/lib/vetchkeel/control-1.kept"

  # An odd few of the machines, the same at all of them: a change is released once most of these hold it.
  keepers = ["control-1", "control-2", "control-3"]

  # The other machines. Routers say themselves where they are reached.
  machine "control-2" { address = "127.0.0.2:7600" }
  machine "control-3" { address = "127.0.0.3:7600" }

  # A router that is reached at another address than it says.
  # router "router-3" { address = "127.0.0.9:7500" }

  # The same at all routers and control machines.
  plan {
    beat           = "1s"
    say            = "2s"
    patience       = "3s"
    stand          = "2s"
    verdict        = "14s"
    bytes_a_second = 5000
    places         = 420
  }
}
