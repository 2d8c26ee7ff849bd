# Aggregates the reports of repeated runs of one experiment.
[.[].variants[]] | {
  runs: length,
  sent: (map(.sent) | add),
  notSent: (map(.notSent) | add),
  outcomes: ([.[].outcomes[]] | group_by([.kind, .code, .ran])
    | map({outcome: (.[0] | del(.count)), count: (map(.count) | add)})),
  violations: ([.[] | .violations // {} | to_entries[]] | group_by(.key)
    | map({key: .[0].key, value: (map(.value) | add)}) | from_entries),
  extraLoad: (map(.extraLoad) | add / length),
  p50Ms: map(.queries.p50Ms),
  p99Ms: map(.queries.p99Ms),
  coverageMean: map(.coverage.mean)
}
