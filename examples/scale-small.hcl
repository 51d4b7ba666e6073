# A small fleet, played in told time in seconds: what CI plays. The full size is in scale.hcl, each value is explained there.
seed   = 1
length = "120s"

size {
  routers = 24
  members = 70
  sets    = 10
}

region "north" { zones = ["north-a", "north-b"] }
region "south" { zones = ["south-a", "south-b"] }

control {
  machines = 4
  keepers  = 3
  names    = 60
}

signals {
  topics = 1
  judged = 1
}

start { over = "2s" }

changes "calm" {
  at    = "20s"
  count = 5
  every = "1s"
}

list_changes "primaries" {
  at    = "22s"
  count = 3
  every = "1s"
  rows  = 2
}

machine_killed "killed" {
  machine = 2
  at      = "30s"
  until   = "42s"
}

changes "one killed" {
  at    = "30s"
  count = 3
  every = "500ms"
}

machine_stopped "stopped" {
  machine = 1
  at      = "45s"
  until   = "75s"
}

changes "one stopped" {
  at    = "45s"
  count = 3
  every = "500ms"
}

zone_lost "a zone" {
  zone  = "north-b"
  at    = "50s"
  until = "70s"
}

cut "apart" {
  from  = ["north"]
  to    = ["south"]
  at    = "78s"
  until = "90s"
}

changes "apart" {
  at    = "80s"
  count = 2
  every = "1s"
}

broken_change "broken" { at = "92s" }

changes "heals" { at = "97s" }

restart "wave" {
  at       = "98s"
  routers  = 12
  over     = "3s"
  away     = "1s"
}
