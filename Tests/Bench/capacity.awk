# Works the rows of vcCapacityBench out to the size of letter 1. Prints one
# line for each figure: key, value, unit, limit (or -), arithmetic.
{ slope[$1] = $2; base[$1] = $5 }

function say(key, value, unit, limit, how) {
  printf "%s %.3g %s %s %s\n", key, value, unit, limit, how
}

END {
  nodes = 420; workers = 12000; tasks = 256000; services = 56000
  starts = 3200; dcs = 7; changes = 62000 / 86400; jobs = 220000 / 86400
  w = workers / nodes; t = tasks / nodes; st = starts / nodes
  per_worker = tasks / workers
  reply = base["sync_reply_bytes_per_task_on_shard_of_16"] + \
    slope["sync_reply_bytes_per_task_on_shard_of_16"] * 16 * per_worker
  request = base["sync_request_bytes_per_task_on_worker"]

  say("scheduler_state_mb",
    (t * slope["state_bytes_per_task"] + w * slope["state_bytes_per_worker"] + \
      slope["state_bytes_per_shard"]) / 1e6, "MB", "32", "610_tasks+28.6_workers+1_shard")
  say("router_state_mb",
    services / dcs * slope["router_state_bytes_per_target"] / 1e6, "MB", "32",
    "8000_targets_of_the_data_centre")
  say("sync_kbps", w * (request + reply) / 1e3, "KB/s", "11",
    "28.6_calls_a_second_without_HTTP_headers")
  say("sync_cpu_percent", w * slope["sync_cpu_us_per_call"] / 1e4, "%", "4.9",
    "28.6_calls_a_second")
  say("plan_cpu_percent", 20 * t * slope["plan_cpu_us_per_task"] / 1e4, "%", "4.9",
    "20_plans_a_second_over_610_tasks")
  say("start_cpu_percent", st * slope["start_cpu_us"] / 1e4, "%", "4.9",
    "7.6_starts_a_second")
  say("journal_kbps", st * slope["journal_bytes_per_start_and_end"] / 1e3,
    "KB/s", "11", "7.6_starts_and_ends_a_second")
  say("snapshot_kb", t * slope["snapshot_bytes_per_task"] / 1e3, "KB", "1000",
    "610_tasks")
  say("feed_kbps", changes * slope["feed_bytes_per_change"] / 1e3, "KB/s", "11",
    "0.72_changes_a_second")
  say("change_cpu_percent", changes * slope["change_cpu_us_per_change"] / 1e4,
    "%", "4.9", "0.72_changes_a_second")
  say("table_kbps", (nodes / dcs) * 45 / 1e3, "KB/s", "11",
    "1_question_a_second_to_each_of_60_schedulers,_45_B_for_its_shard")
  say("takeover_ms", t * slope["takeover_cpu_us_per_task"] / 1e3, "ms", "-",
    "610_tasks_decoded_and_rebuilt")
  say("store_lease_writes", nodes * 4 / 0.8, "/s", "500",
    "4_leases_a_node_renewed_every_0.8_s")
  say("store_scan_reads", nodes * 4 / 0.5, "/s", "2000",
    "4_scans_a_node_every_0.5_s")
  say("store_watch_reads", nodes / 0.4, "/s", "2000", "a_watch_a_node_of_0.4_s")
  say("store_journal_writes", nodes / 1.5, "/s", "500",
    "1_shard_a_node_at_flushInterval_1500")
  say("store_claim_writes", jobs * 2, "/s", "500", "2_writes_a_job")
}
