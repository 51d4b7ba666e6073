# The settings of a router, held by control machines. Where its program is built with the feature `fleet`,
# VETCHKEEL_CONFIGURATION names this file. Not for the platform. See docs/configuration.md.
configuration {
  # Where control machines reach this router, by TCP. Its name is that of the router's configuration, its own in the fleet
  # and kept over restarts.
  address = "127.0.0.1:7500"

  # Version and document as last told: written before they are said to be in force, found again at the next start.
  keep = "/var/lib/vetchkeel/configuration.kept"

  # Machines of its own zone or region: tried first.
  near = ["control-1"]

  # All of them.
  machine "control-1" { address = "127.0.0.1:7600" }
  machine "control-2" { address = "127.0.0.2:7600" }
  machine "control-3" { address = "127.0.0.3:7600" }

  # The same at all routers and control machines.
  plan {
    beat           = "1s"
    say            = "2s"
    patience       = "3s"
    spread         = "2s"
    pause          = "10s"
    start_wait     = "5s"
    bytes_a_second = 5000
  }
}
