# Trouble in half the sets, at 250 routers by 80 members: what does it cost the other half? Four points: calm (both
# troubles end at once), members that are slow, members that fail by turns, and both.
# Simulated: `vetchkeel lab run examples/apart.hcl`
experiment = "apart"
about      = "trouble in the first ten of twenty sets, 250 routers by 80 members"
length     = "40s"
seeds      = [1, 2, 3, 4]

sweep "trouble.slow.until" {
  values = ["4001ms", "38s"]
}

sweep "trouble.flapping.until" {
  values = ["4001ms", "38s"]
}

fleet {
  sets    = 20
  members = 4
  routers = 250
  checks  = "wait"
  machine "std" {
    cores = 4
    queue = 80
  }
  ways {
    same = between("150us", "320us")
  }
  copying {
    ship   = between("4700us", "14ms")
    apply  = lognormal("20ms", 0.5)
    detect = between("1300ms", "2500ms")
    elect  = between("1200ms", "4s")
  }
  warming {
    from     = 0.45
    over     = "8s"
    multiple = 4
    span     = "1s"
  }
  connections {
    work      = "4ms"
    handshake = 2
  }
}

traffic {
  load        = 0.7
  router_skew = 0.6
  sessions    = 20000
}

clients {
  retries   = 1
  backoff   = "50ms"
  try_share = 0.7
}

command_group "map-view" {
  share   = 0.40
  access  = "bounded"
  bound   = "300ms"
  work    = lognormal("125ms", 0.9)
  target  = "600ms"
  timeout = "1500ms"
}

command_group "status-check" {
  share   = 0.32
  access  = "any"
  work    = lognormal("50ms", 0.9)
  target  = "250ms"
  timeout = "600ms"
  benefit = 2
}

command_group "season-report" {
  share   = 0.023
  access  = "any"
  work    = lognormal("1250ms", 0.5)
  target  = "6s"
  timeout = "12s"
  benefit = 6
  blocks  = true
}

command_group "issue-warning" {
  share      = 0.25
  access     = "write"
  work       = lognormal("85ms", 0.7)
  target     = "600ms"
  timeout    = "3s"
  benefit    = 6
  late_share = 0.5
}

trouble "slow" {
  from    = "4s"
  until   = "38s"
  times   = 5
  members = [
    0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19,
    20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39
  ]
}

trouble "flapping" {
  from    = "4s"
  until   = "38s"
  members = [0, 3, 4, 6, 8, 11, 12, 13, 16, 18, 20, 21, 24, 26, 28, 30, 32, 33, 36, 39]
  down    = "1500ms"
  up      = "4500ms"
}
