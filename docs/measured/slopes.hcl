# Measured by `vetchkeel lab slopes`, never by hand: need = base + value x size.

slope "list.whole.bytes" {
  unit     = "bytes"
  per      = "member"
  base     = -238.25897435896331
  value    = 153.6971282051282
  low      = 153.6971282051282
  high     = 153.6971282051282
  residual = 0.034414232897115364
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only list.whole.bytes"
  cores    = 8
}

slope "list.whole.read" {
  unit     = "seconds"
  per      = "member"
  base     = -5.548114940033197e-5
  value    = 4.457893510173697e-6
  low      = 3.2645634845326716e-6
  high     = 5.313640111000827e-6
  residual = 0.309495609113896
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only list.whole.read"
  cores    = 8
}

slope "module.list.change" {
  unit     = "seconds"
  per      = "member"
  base     = -2.4880997733181683e-5
  value    = 8.739702505927763e-8
  low      = 7.585501623655913e-8
  high     = 9.780839165425974e-8
  residual = 12.498880064705084
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only module.list.change"
  cores    = 8
}

slope "module.list.memory" {
  unit     = "bytes"
  per      = "member"
  base     = -30550.56873449136
  value    = 590.3325856079405
  low      = 590.3325856079405
  high     = 590.3325856079405
  residual = 1.0441703457832507
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only module.list.memory"
  cores    = 8
}

slope "module.list.whole" {
  unit     = "seconds"
  per      = "member"
  base     = -6.1154632869782205e-3
  value    = 1.1170097435787152e-5
  low      = 9.934206810918114e-6
  high     = 1.2194117511993384e-5
  residual = 464.00012902129606
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only module.list.whole"
  cores    = 8
}

slope "module.list.whole.pair" {
  unit     = "seconds"
  per      = "pair of members"
  base     = 2.699211705232511e-4
  value    = 2.203646766403948e-9
  low      = 1.9423526939762835e-9
  high     = 2.421443162637529e-9
  residual = 21.948571699256878
  largest  = 24010000
  sizes    = [2500, 250000, 1500625, 6002500, 24010000]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only module.list.whole.pair"
  cores    = 8
}

slope "subset.cpu.router_member" {
  unit     = "seconds"
  per      = "router times member"
  base     = -4.7996732268732085e-4
  value    = 2.0630530333815956e-8
  low      = 1.6463026763209764e-8
  high     = 2.3768521997414636e-8
  residual = 0.5660861986347431
  largest  = 1044480
  sizes    = [36000, 160000, 360000, 640000, 1000000, 1044480]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only subset.cpu.router_member"
  cores    = 8
}
