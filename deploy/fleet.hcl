# A router among others. Where its program is built with the feature `fleet`, VETCHKEEL_FLEET names this file.
# Not for the platform: routers there share nothing. See docs/fleet.md.
fleet {
  # Number of the fleet: messages of another one are refused.
  number = 1

  # Where the others reach this router, by UDP. Its name is that of the router's configuration.
  address = "127.0.0.1:7400"

  # Where it runs: helpers of a probe are asked in more than one zone.
  zone = "a"

  # Routers to join through. One that answers is enough; none: the others come to this one.
  seed "router-2" { address = "127.0.0.2:7400" }
  seed "router-3" { address = "127.0.0.3:7400" }

  # One that is reached at another address than it says.
  # via "router-3" { address = "127.0.0.9:7400" }

  # The same at all routers of the fleet.
  plan {
    period   = "500ms"
    helpers  = 3
    patience = 4
    slack    = 3
    reach    = "2s"
    compare  = "10s"
    forget   = "1h"
  }
}
