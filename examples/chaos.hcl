# What goes wrong between three gateways, and when. Times count from the start of the first process.
# Read by vetchkeel-chaos; errors name this file, the line and what was expected.
seed  = 7
names = ["gw-1", "gw-2", "gw-3"]

# All links, all the time: a millisecond more or less, and a datagram lost now and then.
fault "weather" {
  links     = ["* <> *"]
  delay     = "500us"
  jitter    = "500us"
  drop      = 0.01
  duplicate = 0.01
  reorder   = 0.05
}

# One way only: gw-2 hears nothing of gw-1, and gw-1 still hears gw-2.
fault "one-way" {
  links = ["gw-1 > gw-2"]
  from  = "1s"
  until = "2500ms"
  cut   = true
}

# gw-3 is alone.
fault "apart" {
  links = ["gw-3 <> gw-1", "gw-3 <> gw-2"]
  from  = "3s"
  until = "4s"
  cut   = true
}

# 20,000 bytes a second are left.
fault "narrow" {
  links = ["gw-2 > *"]
  from  = "4s"
  until = "5s"
  rate  = 20000
}

# Connections end, as when a machine between restarts.
fault "reset" {
  links = ["gw-1 <> gw-2"]
  from  = "5s"
  until = "5200ms"
  reset = true
}

# Killed, and started again under its name and address.
process "dies" {
  name = "gw-1"
  at   = "5500ms"
  act  = "kill"
}
process "back" {
  name = "gw-1"
  at   = "6s"
  act  = "start"
}

# Holds its sockets and does nothing.
process "sleeps" {
  name = "gw-2"
  at   = "6500ms"
  act  = "stop"
}
process "wakes" {
  name = "gw-2"
  at   = "7s"
  act  = "continue"
}
