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
  base     = -5.756033971560503e-4
  value    = 4.429693054149434e-6
  low      = 4.308738916956162e-6
  high     = 4.57847194987593e-6
  residual = 2.8924464571738606
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only list.whole.read"
  cores    = 8
}

slope "membership.bytes.instance" {
  unit     = "bytes a second"
  per      = "instance"
  base     = 323.07037166666674
  value    = -5.109444444462952e-5
  low      = -3.3023333333318303e-4
  high     = 3.3938333333333046e-4
  residual = 9.575824577258219e-5
  largest  = 500
  sizes    = [100, 200, 300, 400, 500]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only membership.bytes.instance"
  cores    = 8
}

slope "membership.bytes.start.instance" {
  unit     = "bytes"
  per      = "instance"
  base     = -19698.489366666705
  value    = 956.4786576666667
  low      = 955.37939
  high     = 957.6807085
  residual = 0.040059388790024
  largest  = 500
  sizes    = [100, 200, 300, 400, 500]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only membership.bytes.start.instance"
  cores    = 8
}

slope "membership.cpu.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = 3.7078979999999933e-6
  value    = 1.3959627444444445e-7
  low      = 1.3001430000000002e-7
  high     = 1.5447711999999997e-7
  residual = 0.15434793742457678
  largest  = 500
  sizes    = [100, 200, 300, 400, 500]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only membership.cpu.instance"
  cores    = 8
}

slope "membership.cpu.start.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = -0.00690480533833333
  value    = 9.278130628333332e-5
  low      = 8.773169395000001e-5
  high     = 9.971819719999999e-5
  residual = 0.3896015685749699
  largest  = 500
  sizes    = [100, 200, 300, 400, 500]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only membership.cpu.start.instance"
  cores    = 8
}

slope "membership.memory.instance" {
  unit     = "bytes"
  per      = "instance"
  base     = 10953.920000000013
  value    = 501.168
  low      = 500.6288
  high     = 501.552
  residual = 0.019834460087466303
  largest  = 500
  sizes    = [100, 200, 300, 400, 500]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only membership.memory.instance"
  cores    = 8
}

slope "module.list.change" {
  unit     = "seconds"
  per      = "member"
  base     = 4.0870214881444734e-7
  value    = 1.0454625668596637e-9
  low      = 7.429178329197684e-10
  high     = 1.2969588751033915e-9
  residual = 0.08271801083874011
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
  base     = -7.620923238213398e-5
  value    = 4.773523172870141e-7
  low      = 3.932376856906534e-7
  high     = 5.371990124069479e-7
  residual = 5.76471059884299
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
  base     = 2.2661305938704928e-4
  value    = 8.945923262640312e-11
  low      = 7.233640917572757e-11
  high     = 1.017546474168117e-10
  residual = 19.649176242295617
  largest  = 24010000
  sizes    = [2500, 250000, 1500625, 6002500, 24010000]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only module.list.whole.pair"
  cores    = 8
}

slope "router.connections.member" {
  unit     = "connections"
  per      = "member"
  base     = 36.190086558876374
  value    = 0.9936248026566499
  low      = 0.9929024987751103
  high     = 0.9947235015515271
  residual = 0.011062492454911598
  largest  = 4900
  sizes    = [500, 1225, 2450, 3675, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.connections.member"
  cores    = 8
}

slope "router.connections.member.390" {
  unit     = "connections"
  per      = "member"
  base     = 337.09887533315
  value    = 0.5225881352816835
  low      = 0.5155365315687895
  high     = 0.5331027019575406
  residual = 5.719536565005359
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.connections.member.390"
  cores    = 8
}

slope "router.cpu.idle.member" {
  unit     = "seconds"
  per      = "member"
  base     = 1.9639121261460582e-5
  value    = 1.9602059117926327e-9
  low      = -1.518482774558831e-10
  high     = 5.859374076796207e-9
  residual = 0.1480672257313424
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.cpu.idle.member"
  cores    = 8
}

slope "router.cpu.statement" {
  unit     = "seconds"
  per      = "statement a second"
  base     = 0.031497068541146936
  value    = 5.042863542445414e-5
  low      = 4.619086100654225e-5
  high     = 5.6356555678860694e-5
  residual = 0.27238401358020137
  largest  = 3571
  sizes    = [250, 500, 1000, 2000, 3571]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.cpu.statement"
  cores    = 8
}

slope "router.cpu.statement.member" {
  unit     = "seconds"
  per      = "member"
  base     = 6.0994910650216455e-5
  value    = 1.7187365922588904e-9
  low      = 1.1801952191781292e-9
  high     = 2.2431832876343777e-9
  residual = 0.03503926331818342
  largest  = 4900
  sizes    = [500, 1225, 2450, 3675, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.cpu.statement.member"
  cores    = 8
}

slope "router.cpu.statement.member.390" {
  unit     = "seconds"
  per      = "member"
  base     = 1.1018703158647594e-4
  value    = 1.906845620477426e-8
  low      = 1.175739154440599e-8
  high     = 2.4910867954421906e-8
  residual = 0.09243625448223804
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.cpu.statement.member.390"
  cores    = 8
}

slope "router.dials.member" {
  unit     = "connections a second"
  per      = "member"
  base     = 2.3639055957841553
  value    = -2.9542877586021915e-5
  low      = -1.0708490049523836e-4
  high     = 1.1284008214378208e-4
  residual = 0.8046486553592551
  largest  = 4900
  sizes    = [500, 1225, 2450, 3675, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.dials.member"
  cores    = 8
}

slope "router.dials.member.390" {
  unit     = "connections a second"
  per      = "member"
  base     = -31.203800141541947
  value    = 0.062052764073943334
  low      = 0.06132493097636048
  high     = 0.06294081384362626
  residual = 73.2690603431096
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.dials.member.390"
  cores    = 8
}

slope "router.list.change" {
  unit     = "seconds"
  per      = "member"
  base     = 8.891314770871243e-5
  value    = 2.0245093653708302e-7
  low      = 1.953886712820513e-7
  high     = 2.1299285650951204e-7
  residual = 0.06515765948360033
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.list.change"
  cores    = 8
}

slope "router.list.silent" {
  unit     = "bytes a second"
  per      = "member"
  base     = 1567.730378186301
  value    = 45.93426818056759
  low      = 43.29490294853864
  high     = 47.72503516227654
  residual = 0.5925827234098452
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.list.silent"
  cores    = 8
}

slope "router.memory.member" {
  unit     = "bytes"
  per      = "member"
  base     = 3427645.5614006063
  value    = 1819.3851535704441
  low      = 1808.6025210918115
  high     = 1827.9272390405295
  residual = 0.036232594769891886
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.memory.member"
  cores    = 8
}

slope "router.probes.member" {
  unit     = "probes a second"
  per      = "member"
  base     = 0.006575443814460805
  value    = 3.227243698255253e-5
  low      = -6.043622113807231e-6
  high     = 5.943210766015708e-5
  residual = 2.0835717101973072
  largest  = 4900
  sizes    = [500, 1225, 2450, 3675, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.probes.member"
  cores    = 8
}

slope "router.probes.member.390" {
  unit     = "probes a second"
  per      = "member"
  base     = -6.058751615515095e-3
  value    = 1.2450654182334831e-5
  low      = 0
  high     = 3.735196254700449e-5
  residual = 1
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.probes.member.390"
  cores    = 8
}

slope "shared.counts.bytes.instance" {
  unit     = "bytes a second"
  per      = "instance"
  base     = 9736.447729729729
  value    = 0.08583807807808232
  low      = 0.08474810810810791
  high     = 0.08698306306306149
  residual = 3.454353240169519e-4
  largest  = 300
  sizes    = [50, 100, 150, 200, 300]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.counts.bytes.instance"
  cores    = 8
}

slope "shared.counts.cpu.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = 7.991018761081078e-4
  value    = 3.5813357554354365e-6
  low      = 3.2046082317117115e-6
  high     = 4.005989382702703e-6
  residual = 0.19539739402663417
  largest  = 300
  sizes    = [50, 100, 150, 200, 300]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.counts.cpu.instance"
  cores    = 8
}

slope "shared.judgements.bytes.instance" {
  unit     = "bytes a second"
  per      = "instance"
  base     = 13860.719729729732
  value    = 2.636829189189187
  low      = 2.5771751351351364
  high     = 2.7044151351351275
  residual = 0.030906594796074854
  largest  = 300
  sizes    = [50, 100, 150, 200, 300]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.judgements.bytes.instance"
  cores    = 8
}

slope "shared.judgements.cpu.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = 3.1494664321621627e-4
  value    = 4.2955229908708705e-6
  low      = 3.645752706666667e-6
  high     = 4.877206714954954e-6
  residual = 0.11589936233774932
  largest  = 300
  sizes    = [50, 100, 150, 200, 300]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.judgements.cpu.instance"
  cores    = 8
}

slope "subset.cpu.router_member" {
  unit     = "seconds"
  per      = "router times member"
  base     = 2.860670698923151e-4
  value    = 1.9718737047655835e-8
  low      = 1.917073528032662e-8
  high     = 2.0778680966671425e-8
  residual = 0.18620020915499122
  largest  = 10290000
  sizes    = [36000, 250000, 1000000, 3430000, 5145000, 10290000]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only subset.cpu.router_member"
  cores    = 8
}
