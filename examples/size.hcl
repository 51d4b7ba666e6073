# The size to design for: `vetchkeel plan capacity examples/size.hcl`, explained in docs/CAPACITY.md. Every value is wanted.
# What the operators told stands plainly; what nobody told yet is marked "assumed", and is to be replaced by what is known.

routers              = 2100
members              = 4900
sets                 = 1225       # assumed: four members a set
regions              = 4
zones                = 11
client_connections   = 15000000   # 7,143 a router
statements_a_second  = 7500000    # 3,571 a router

# One router, control aside.
router {
  cores           = 1             # one loop in one thread
  memory_mb       = 1024          # assumed
  bytes_a_second  = 125000000     # assumed: a gigabit
  descriptors     = 16384         # `sockets` of its configuration
  connection_idle = "15s"         # assumed: `conn_idle_ms`
}

# One router, for control alone.
control {
  cores          = 0.023
  memory_mb      = 256
  bytes_a_second = 5000
}

# The machines set aside for control.
control_machines {
  count          = 20
  least          = 10             # so many are left at worst
  cores          = 8              # assumed, each
  memory_mb      = 16384          # assumed
  bytes_a_second = 125000000      # assumed
  descriptors    = 65536          # assumed
}

# One database: what it bears of all routers together beside their statements. All assumed.
member {
  cores           = 1
  memory_mb       = 8192
  bytes_a_second  = 1000000
  connections     = 800           # 200 a core, four cores, as in docs/lab.md
  dials_a_second  = 100
  probes_a_second = 1000
}

primary_changes {
  a_day  = 5
  within = "15s"
}

configuration {
  a_day        = 6400             # one in 13.5 s
  within       = "14s"
  document_kb  = 256              # assumed
  change_bytes = 400              # assumed
}

# Of routers and members together.
machines {
  failed_a_day    = 15
  restarted_a_day = 830
  in_a_rack       = 40            # assumed
  rows_a_machine  = 3             # assumed: gone, cold, ready
}

# Two regions that lose each other.
apart {
  length = "1h"
}

# When each event ought to be over. All assumed.
over {
  machine = "60s"
  rack    = "60s"
  zone    = "60s"
  regions = "60s"
  wave    = "10min"
  start   = "10min"
}

shared {
  topics = 16                     # assumed: counted by every router
}

# All assumed.
feeds {
  gateways        = 100
  subscriptions   = 1000000
  pushes_a_second = 2000000
  cores           = 8
  memory_mb       = 4096
  bytes_a_second  = 125000000
  descriptors     = 16384
}

# Each router an edge. All assumed but that.
embargo {
  edges          = 2100
  bulletins      = 1000
  cores          = 1
  memory_mb      = 256
  bytes_a_second = 1000000
  descriptors    = 4096
}
