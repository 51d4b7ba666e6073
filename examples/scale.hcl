# The size to design for, in told time: 2,100 routers by 4,900 members, 20 control machines, four regions with eleven zones.
# Played by `vetchkeel lab scale examples/scale.hcl`; docs/scale.md explains the report, docs/measured/scale.md keeps the
# figures. Errors name this file, the line and what was expected.

driver = "simulated" # told time, one process, one seed; or "loopback": real router processes
seed   = 1
length = "152s"

size {
  routers   = 2100
  members   = 4900
  sets      = 700
  modules   = 2100 # routers that hold the list in an instance of the module
  readers   = 100  # routers that read the list's bytes themselves; the others are handed the same rows
  observers = 20   # routers whose view of the fleet is compared with the truth, once a second
}

region "east" { zones = ["east-a", "east-b", "east-c"] }
region "west" { zones = ["west-a", "west-b", "west-c"] }
region "north" { zones = ["north-a", "north-b", "north-c"] }
region "south" { zones = ["south-a", "south-b"] }

# One way, without jitter; of the jitter's part as much again at most. What is lost of a stream comes 200 ms later.
links {
  within_zone     = "300us"
  within_region   = "1ms"
  between_regions = "30ms"
  jitter          = 0.5
  loss            = 0.001
}

control {
  machines    = 20
  keepers     = 5
  names       = 400 # of the document
  value_bytes = 24
}

# All at once.
start { over = "0s" }

# One in 13.5 s, as 6,400 a day are.
changes "calm" {
  at    = "15s"
  count = 2
  every = "13500ms"
}

list_changes "primaries" {
  at    = "16s"
  count = 5
  every = "2s"
  rows  = 2
}

machine_killed "killed" {
  machine = 3
  at      = "30s"
  until   = "40s"
}

changes "one killed" {
  at    = "30s"
  count = 5
  every = "1s"
}

machine_stopped "stopped" {
  machine = 1
  at      = "42s"
  until   = "54s"
}

changes "one stopped" {
  at    = "42s"
  count = 5
  every = "1s"
}

zone_lost "a zone" {
  zone  = "east-b"
  at    = "55s"
  until = "65s"
}

cut "one way" {
  from  = ["east"]
  to    = ["west"]
  ways  = "one"
  at    = "56s"
  until = "66s"
}

changes "one way" {
  at    = "57s"
  count = 3
  every = "1s"
}

cut "apart" {
  from  = ["south"]
  to    = ["east", "west", "north"]
  at    = "68s"
  until = "88s"
}

changes "apart" {
  at    = "70s"
  count = 2
  every = "4s"
}

changes "burst" {
  at    = "92s"
  count = 100
  every = "100ms"
}

broken_change "broken" { at = "104s" }

changes "heals" { at = "107s" }

agents_silent "agents" {
  routers = 100
  at      = "108s"
  until   = "114s"
}

# The whole fleet in 20 s.
restart "wave" {
  at   = "115s"
  over = "20s"
  away = "2s"
}
