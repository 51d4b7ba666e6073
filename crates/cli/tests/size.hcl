routers = 2100
members = 4900
sets = 1225
regions = 4
zones = 11
client_connections = 15000000
statements_a_second = 7500000
router {
  cores = 1
  memory_mb = 1024
  bytes_a_second = 1e8
  descriptors = 16384
  connection_idle = "15s"
}
control {
  cores = 0.023
  memory_mb = 256
  bytes_a_second = 5000
}
control_machines {
  count = 20
  least = 10
  cores = 8
  memory_mb = 16384
  bytes_a_second = 1e8
  descriptors = 65536
}
member {
  cores = 1
  memory_mb = 8192
  bytes_a_second = 1e6
  connections = 800
  dials_a_second = 100
  probes_a_second = 1000
}
primary_changes {
  a_day = 5
  within = "15s"
}
configuration {
  a_day = 6400
  within = "14s"
  document_kb = 256
  change_bytes = 400
}
machines {
  failed_a_day = 15
  restarted_a_day = 830
  in_a_rack = 40
  rows_a_machine = 3
}
apart {
  length = "1h"
}
over {
  machine = "60s"
  rack = "60s"
  zone = "60s"
  regions = "60s"
  wave = "10min"
  start = "10min"
}
shared {
  topics = 16
}
feeds {
  gateways = 100
  subscriptions = 1000000
  pushes_a_second = 2000000
  cores = 8
  memory_mb = 4096
  bytes_a_second = 1e8
  descriptors = 16384
}
embargo {
  edges = 2100
  bulletins = 1000
  cores = 1
  memory_mb = 256
  bytes_a_second = 1e6
  descriptors = 4096
}
