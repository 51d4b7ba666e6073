# Real router processes by 4,900 members, with stand-ins for discovery's agents that count: started at once, the list
# changed at a rate, agents that fall silent, a restart wave. In real time.
driver = "loopback"
seed   = 1
length = "60s"

size {
  routers = 16
  members = 4900
  sets    = 700
}

region "east" { zones = ["east-a", "east-b", "east-c"] }
region "west" { zones = ["west-a", "west-b", "west-c"] }

list_changes "primaries" {
  at    = "10s"
  count = 40
  every = "250ms"
  rows  = 2
}

zone_lost "a zone" {
  zone  = "east-b"
  at    = "22s"
  until = "25s"
}

# These answer whoever asks, and then say nothing more: they are asked again and again.
agents_silent "answer once" {
  at      = "28s"
  until   = "36s"
  routers = 8
  answers = true
}

# These say nothing at all.
agents_silent "mute" {
  at      = "37s"
  until   = "43s"
  routers = 8
}

restart "wave" {
  at   = "45s"
  over = "2s"
  away = "500ms"
}
