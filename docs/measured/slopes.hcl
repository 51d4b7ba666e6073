# Measured by `vetchkeel lab slopes`, never by hand: need = base + value x size.

slope "configuration.bytes.change" {
  unit     = "bytes"
  per      = "change"
  base     = -3.1666666666751553
  value    = 1701.0083333333337
  low      = 1700.875
  high     = 1701.1
  residual = 1.9604960055945893e-5
  largest  = 20
  sizes    = [4, 8, 12, 16, 20]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only configuration.bytes.change"
  cores    = 8
}

slope "configuration.bytes.whole" {
  unit     = "bytes"
  per      = "byte of settings"
  base     = 3329.4666666666635
  value    = 0.92096
  low      = 0.91988
  high     = 0.92209
  residual = 0.004361865438568852
  largest  = 50000
  sizes    = [10000, 20000, 30000, 40000, 50000]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only configuration.bytes.whole"
  cores    = 8
}

slope "configuration.cpu.change" {
  unit     = "seconds"
  per      = "change"
  base     = 6.607666666666803e-6
  value    = 5.4886816666666654e-5
  low      = 5.4682025000000004e-5
  high     = 5.508857500000001e-5
  residual = 0.005480159837995093
  largest  = 20
  sizes    = [4, 8, 12, 16, 20]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only configuration.cpu.change"
  cores    = 8
}

slope "configuration.machine.bytes.router" {
  unit     = "bytes"
  per      = "router"
  base     = 0
  value    = 1700.25
  low      = 1700
  high     = 1700.5
  residual = 0
  largest  = 420
  sizes    = [25, 50, 105, 210, 420]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only configuration.machine.bytes.router"
  cores    = 8
}

slope "configuration.machine.cpu.router" {
  unit     = "seconds"
  per      = "router"
  base     = 3.0064000265880853e-5
  value    = 2.0874595986013085e-5
  low      = 1.6683345552547618e-5
  high     = 2.789768234313062e-5
  residual = 0.1204209580515697
  largest  = 420
  sizes    = [25, 50, 105, 210, 420]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only configuration.machine.cpu.router"
  cores    = 8
}

slope "configuration.machine.memory.router" {
  unit     = "bytes"
  per      = "router"
  base     = 172066.63237616426
  value    = 531.3944503528957
  low      = 528.3907570337426
  high     = 534.471159238132
  residual = 0.015746322377762148
  largest  = 420
  sizes    = [25, 50, 105, 210, 420]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only configuration.machine.memory.router"
  cores    = 8
}

slope "configuration.memory.document" {
  unit     = "bytes"
  per      = "byte of settings"
  base     = 35.19999999999709
  value    = 1.68192
  low      = 1.68192
  high     = 1.68192
  residual = 0.00900383141762439
  largest  = 50000
  sizes    = [10000, 20000, 30000, 40000, 50000]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only configuration.memory.document"
  cores    = 8
}

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
  base     = -1.817965501957567e-4
  value    = 4.720605141659775e-6
  low      = 4.073058886848635e-6
  high     = 5.267705768899918e-6
  residual = 0.7709523703004612
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
  base     = 322.9890809259259
  value    = 1.6818333333338842e-4
  low      = -8.880000000010569e-5
  high     = 4.3704999999999927e-4
  residual = 2.7150732314675376e-4
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
  base     = -1143.9859833333467
  value    = 501.70889450000004
  low      = 500.22852
  high     = 502.7378675
  residual = 0.025698626253609143
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
  base     = 3.3659758888888766e-6
  value    = 1.5546764000000004e-7
  low      = 0.00000010959069
  high     = 1.7976125333333336e-7
  residual = 0.1180692381571874
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
  base     = -3.3043138199999964e-3
  value    = 5.3665733766666665e-5
  low      = 0.00005051507225
  high     = 0.00005661663235
  residual = 0.28818092361443703
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
  base     = 11134.82666666666
  value    = 500.7285333333333
  low      = 498.0304
  high     = 505.8064
  residual = 0.021627153167445085
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
  base     = 7.35710631237938e-7
  value    = 1.0318688778604906e-9
  low      = 9.771655500413564e-10
  high     = 1.095632522746071e-9
  residual = 0.30012204944329224
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
  base     = -3.7144589214226586e-5
  value    = 4.888835374689826e-7
  low      = 4.5143395004135654e-7
  high     = 5.081797564929694e-7
  residual = 2.048979330060744
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
  base     = 2.7998709378133273e-4
  value    = 9.051935431544855e-11
  low      = 8.197420616133687e-11
  high     = 9.483722283488758e-11
  residual = 22.143977416053104
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
  base     = 8.369949513135607e-4
  value    = -4.373863425714506e-9
  low      = -4.895865331132463e-9
  high     = -3.6831439857771594e-9
  residual = 0.011252975869401105
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
  base     = 1.1328065829762888e-4
  value    = 1.3579805133719325e-8
  low      = 1.0153637882547563e-8
  high     = 1.6404308806175904e-8
  residual = 0.023322985535706806
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
  base     = 20.532888120156713
  value    = 48.05680541274248
  low      = 47.731109646827676
  high     = 48.259659907795346
  residual = 7.0379544398479444e-3
  largest  = 4900
  sizes    = [50, 500, 1225, 2450, 4900]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.list.silent"
  cores    = 8
}

slope "router.memory.client" {
  unit     = "bytes"
  per      = "client"
  base     = 4118755.5555555555
  value    = 685.0743512544802
  low      = 680.5305806451613
  high     = 691.6734623655914
  residual = 0.008378538793876799
  largest  = 4000
  sizes    = [250, 500, 1000, 2000, 4000]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only router.memory.client"
  cores    = 8
}

slope "router.memory.member" {
  unit     = "bytes"
  per      = "member"
  base     = 3526343.181692859
  value    = 2212.684722360077
  low      = 2211.643500413565
  high     = 2213.2154971050454
  residual = 0.00864453971354378
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

slope "shared.budgets.bytes.instance" {
  unit     = "bytes a second"
  per      = "instance"
  base     = 4332.259558558559
  value    = 0.45355123123122826
  low      = 0.43955495495495694
  high     = 0.4621585585585588
  residual = 0.008200874509038876
  largest  = 300
  sizes    = [50, 100, 150, 200, 300]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.budgets.bytes.instance"
  cores    = 8
}

slope "shared.budgets.cpu.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = 7.349308185135134e-4
  value    = 1.4767102984984984e-5
  low      = 1.2431098671711713e-5
  high     = 1.615997317261261e-5
  residual = 0.02870013379007378
  largest  = 300
  sizes    = [50, 100, 150, 200, 300]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.budgets.cpu.instance"
  cores    = 8
}

slope "shared.budgets.cpu.lender.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = -0.01610768934882882
  value    = 2.709979028468468e-4
  low      = 2.3571744620540542e-4
  high     = 2.897979748216216e-4
  residual = 1.7897586670409813
  largest  = 300
  sizes    = [50, 100, 150, 200, 300]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.budgets.cpu.lender.instance"
  cores    = 8
}

slope "shared.budgets.cpu.lender.pair" {
  unit     = "seconds"
  per      = "pair of instances"
  base     = 2.1514058575141243e-3
  value    = 7.6062331058038e-7
  low      = 6.429101423790448e-7
  high     = 8.272283864447869e-7
  residual = 0.251415592344325
  largest  = 90000
  sizes    = [2500, 10000, 22500, 40000, 90000]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.budgets.cpu.lender.pair"
  cores    = 8
}

slope "shared.counts.bytes.instance" {
  unit     = "bytes a second"
  per      = "instance"
  base     = 9753.722942577602
  value    = 0.007522926614648281
  low      = 0.007472928826660585
  high     = 0.007559471304601893
  residual = 8.682423896131989e-4
  largest  = 2100
  sizes    = [100, 250, 500, 1000, 2100]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.counts.bytes.instance"
  cores    = 8
}

slope "shared.counts.cpu.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = 0.001485677665375026
  value    = 3.982105194537545e-7
  low      = 3.231400939282796e-7
  high     = 4.895977994509955e-7
  residual = 0.26604233971518154
  largest  = 2100
  sizes    = [100, 250, 500, 1000, 2100]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.counts.cpu.instance"
  cores    = 8
}

slope "shared.judgements.bytes.instance" {
  unit     = "bytes a second"
  per      = "instance"
  base     = 14459.654366712242
  value    = 1.6499348428500745e-3
  low      = 1.5812372566180398e-3
  high     = 1.7114624808576416e-3
  residual = 3.351580118523551e-5
  largest  = 2100
  sizes    = [100, 250, 500, 1000, 2100]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.judgements.bytes.instance"
  cores    = 8
}

slope "shared.judgements.cpu.instance" {
  unit     = "seconds"
  per      = "instance"
  base     = 1.4347725532239655e-3
  value    = 1.4816487685475217e-6
  low      = 1.3842217313733316e-6
  high     = 1.6167716716418722e-6
  residual = 1.0223696579852102
  largest  = 2100
  sizes    = [100, 250, 500, 1000, 2100]
  runs     = 3
  kind     = "simulated"
  command  = "vetchkeel lab slopes --only shared.judgements.cpu.instance"
  cores    = 8
}

slope "subset.cpu.router_member" {
  unit     = "seconds"
  per      = "router times member"
  base     = 0.002594527388297553
  value    = 1.537394746349468e-8
  low      = 1.414166251608934e-8
  high     = 1.6787415098471342e-8
  residual = 3.0979486283499162
  largest  = 10290000
  sizes    = [36000, 250000, 1000000, 3430000, 5145000, 10290000]
  runs     = 3
  kind     = "measured"
  command  = "vetchkeel lab slopes --only subset.cpu.router_member"
  cores    = 8
}
