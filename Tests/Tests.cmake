add_library(vcStandIns STATIC
  Tests/StandIns/vcFakeStore.cxx Tests/StandIns/vcFakeFleet.cxx)
target_include_directories(vcStandIns PUBLIC Tests/StandIns)
target_link_libraries(vcStandIns PUBLIC vcScheduler)
add_executable(vcPlatformStandIn
  Tests/StandIns/vcPlatformStandInMain.cxx)
target_link_libraries(vcPlatformStandIn PRIVATE vcStandIns)
add_executable(vcFreePorts Tests/StandIns/vcFreePortsMain.cxx)
target_link_libraries(vcFreePorts PRIVATE vcHttp)
add_library(vcScenarios STATIC
  Tests/Scenarios/vcWorld.cxx Tests/Scenarios/vcWorldCallers.cxx
  Tests/Scenarios/vcWorldChecks.cxx
  Tests/Scenarios/vcScenarioVerbs.cxx)
target_include_directories(vcScenarios PUBLIC Tests/Scenarios)
target_include_directories(vcScenarios SYSTEM PUBLIC ${LUA_INCLUDE_DIR})
target_link_libraries(vcScenarios PUBLIC vcStandIns vcRouting vcRequests
  ${LUA_LIBRARY})
add_executable(vcScenario Tests/Scenarios/vcScenarioMain.cxx)
target_link_libraries(vcScenario PRIVATE vcScenarios)

add_executable(vcUnitTests
  Tests/Unit/vcTestMain.cxx Tests/Unit/vcCodecTest.cxx
  Tests/Unit/vcJournalTest.cxx Tests/Unit/vcHttpTest.cxx
  Tests/Unit/vcDecisionTest.cxx Tests/Unit/vcDispatchTest.cxx
  Tests/Unit/vcDispatchTakeoverTest.cxx Tests/Unit/vcDispatchSharingTest.cxx
  Tests/Unit/vcDispatchWaitTest.cxx Tests/Unit/vcWorkerSetTest.cxx
  Tests/Unit/vcMembershipTest.cxx Tests/Unit/vcOwnerPacingTest.cxx
  Tests/Unit/vcSitePlatformTest.cxx
  Tests/Unit/vcShardRunnerTest.cxx Tests/Unit/vcStarvationTest.cxx
  Tests/Unit/vcStoreOutcomeTest.cxx Tests/Unit/vcOddInputTest.cxx
  Tests/Unit/vcCrashTest.cxx Tests/Unit/vcCrashDatesTest.cxx
  Tests/Unit/vcCrashTogetherTest.cxx
  Tests/Unit/vcViewsTest.cxx
  Tests/Unit/vcWaitingTest.cxx Tests/Unit/vcWorkerCallsTest.cxx
  Tests/Unit/vcIdleJobsTest.cxx Tests/Unit/vcIdleBoundsTest.cxx
  Tests/Unit/vcTurnsTest.cxx Tests/Unit/vcConfigConditionTest.cxx
  Tests/Unit/vcOccurrencesTest.cxx Tests/Unit/vcSuccessionTest.cxx
  Tests/Unit/vcSuccessionBoundsTest.cxx Tests/Unit/vcHandOverTest.cxx
  Tests/Unit/vcLongRunningRoomTest.cxx Tests/Unit/vcKeyClaimTest.cxx
  Tests/Unit/vcClaimWaitTest.cxx Tests/Unit/vcLeaseExtensionTest.cxx
  Tests/Unit/vcLeaseExtensionCheckTest.cxx
  Tests/Unit/vcIncarnationFenceTest.cxx Tests/Unit/vcTeamCredentialsTest.cxx
  Tests/Unit/vcOverloadTest.cxx Tests/Unit/vcRenewalScheduleTest.cxx
  Tests/Unit/vcHttpBudgetTest.cxx Tests/Unit/vcHttpServerTest.cxx
  Tests/Unit/vcTeamQuotaTest.cxx
  Tests/Unit/vcRackLocalityTest.cxx Tests/Unit/vcUnansweredStartTest.cxx
  Tests/Unit/vcLateSubmissionTest.cxx Tests/Unit/vcWorkerRunsTest.cxx
  Tests/Fleet/vcFleetStore.cxx)
target_include_directories(vcUnitTests PRIVATE Tests/Fleet)
target_link_libraries(vcUnitTests PRIVATE vcStandIns vcRouting vcRequests
  vcBurn vcDispatch vcNode vcSitePlatform)
add_test(NAME unit COMMAND vcUnitTests)
# Known to fail; see KNOWN-RED.txt.
add_test(NAME unit_idle_crowd COMMAND vcUnitTests "[red-idle-crowd]")
add_test(NAME unit_idle_late_probes
  COMMAND vcUnitTests "[red-idle-late-probes]")
add_test(NAME unit_idle_costs COMMAND vcUnitTests "[red-idle-costs]")

# Scenarios: each with some seeds, the random faults with 2,000.
set(scenarios basic kill frozen_owner thawed_start freeze cut drained_cut_off
  outage lost_answers races drain leaving workers cancel_wave keyed
  config_spread)
foreach(scenario ${scenarios})
  add_test(NAME scenario_${scenario}
    COMMAND vcScenario ${CMAKE_SOURCE_DIR}/Tests/Scenarios/${scenario}.lua
      --seeds 1..40 --threads 2)
  set_tests_properties(scenario_${scenario} PROPERTIES TIMEOUT 300)
endforeach()
add_test(NAME scenario_random_faults
  COMMAND vcScenario ${CMAKE_SOURCE_DIR}/Tests/Scenarios/random_faults.lua
    --seeds 1..2000 --threads 6)
set_tests_properties(scenario_random_faults PROPERTIES
  TIMEOUT 600 PROCESSORS 6)

# Each mutation of the cores has to be found by a check.
function(verbenacroft_mutation name script seeds)
  add_test(NAME mutation_${name}
    COMMAND vcScenario ${CMAKE_SOURCE_DIR}/Tests/Scenarios/${script}.lua
      --seeds ${seeds} --threads 4 --mutation ${name})
  set_tests_properties(mutation_${name} PROPERTIES TIMEOUT 300)
endfunction()
verbenacroft_mutation(fresh-proof drained_cut_off 1..40)
verbenacroft_mutation(early-durable random_faults 1..100)
verbenacroft_mutation(forgotten-commitment random_faults 1..40)
verbenacroft_mutation(forgotten-completion basic 1..4)
verbenacroft_mutation(forgotten-checkpoint random_faults 1..40)
verbenacroft_mutation(repeated-grant keyed 1..4)
verbenacroft_mutation(old-configuration config_spread 1..4)
verbenacroft_mutation(kept-targets drain 1..4)

# Nodes of one fleet against a store and workers in memory.
add_executable(vcFleet
  Tests/Fleet/vcFleetMain.cxx Tests/Fleet/vcFleet.cxx
  Tests/Fleet/vcFleetJobs.cxx Tests/Fleet/vcFleetCancellations.cxx
  Tests/Fleet/vcFleetFaults.cxx Tests/Fleet/vcFleetBounds.cxx
  Tests/Fleet/vcFleetReleases.cxx Tests/Fleet/vcFleetTakeovers.cxx
  Tests/Fleet/vcFleetHandOvers.cxx Tests/Fleet/vcFleetLateClaims.cxx
  Tests/Fleet/vcFleetRestarts.cxx Tests/Fleet/vcFleetTeams.cxx
  Tests/Fleet/vcFleetLateEnds.cxx Tests/Fleet/vcFleetRackLosses.cxx
  Tests/Fleet/vcFleetJudges.cxx Tests/Fleet/vcFleetDeadlyTasks.cxx
  Tests/Fleet/vcFleetLink.cxx Tests/Fleet/vcFleetChoking.cxx
  Tests/Fleet/vcFleetStore.cxx Tests/Fleet/vcFleetWorkers.cxx)
target_link_libraries(vcFleet PRIVATE vcNode)
# Each test plays other faults, or another fleet, on the same seeds.
function(verbenacroft_fleet name)
  add_test(NAME fleet_${name} COMMAND vcFleet ${ARGN} --threads 6)
  set_tests_properties(fleet_${name} PROPERTIES TIMEOUT 600 PROCESSORS 6)
endfunction()
verbenacroft_fleet(random_faults --play faults --seeds 1..250)
# Guards against a takeover that waits for workers that a release has replaced.
verbenacroft_fleet(release --play release --seeds 1..60)
# Guards against two runs of a task when draining workers leave, go on or
# restart amid faults. On seeds 92 and 208 a start takes effect seconds late, in
# a new incarnation that has seen neither its stop nor its epoch.
verbenacroft_fleet(release_amid_faults --play release-amid-faults --seeds 1..210)
# Guards against answers and starts from a view of the store that lags.
verbenacroft_fleet(late_watches --play watches --seeds 1..100)
# Guards against a write of progress with more entries than the store takes,
# while many jobs of one shard end.
verbenacroft_fleet(many_jobs_end_at_once
  --play faults --seeds 1..20 --shards 1 --jobs-at-once 20)
# Guards against a hand-over with more entries than the store takes, when a node
# leaves that owns many shards.
verbenacroft_fleet(leaving_node_owns_many_shards
  --play faults --seeds 1..20 --nodes 2 --shards 24 --workers 240)
# Guards against an owner that is too small for its shard, after the store has
# forgotten all leases.
verbenacroft_fleet(small_nodes --play small-nodes --seeds 1..100)
# Guards against a wait for lost workers that begins anew with each takeover.
verbenacroft_fleet(successive_takeovers
  --play successive-takeovers --seeds 1..100)
# Guards against a wait for lost workers that begins when their owner is lost
# with them and lasts for longer than long-running tasks may be away.
verbenacroft_fleet(owner_and_workers_lost
  --play owner-and-workers-lost --seeds 1..100)
# Guards against a wait for lost workers that adds up over owners that are lost
# one after another, each before it has settled.
verbenacroft_fleet(owners_lost_in_series
  --play owners-lost-in-series --seeds 1..120)
# Guards against a wait for lost workers that begins anew with a hand-over, and
# against lost tasks that wait for a worker which leaves at that time.
verbenacroft_fleet(leaves_before_settled
  --play leaves-before-settled --seeds 1..120)
# The same amid further losses, from the last of which the wait counts.
verbenacroft_fleet(losses_and_leaves
  --play losses-and-leaves --seeds 1..120)
# Guards against a wait for lost workers that begins only with the claim, though
# the shard has had no owner for some time.
verbenacroft_fleet(late_claims --play late-claims --seeds 1..120)
# Guards against two runs of a task when an owner without a lease goes on
# renewing the workers that only it reaches.
verbenacroft_fleet(long_partition --play long-partition --seeds 1..40)
# Guards against an owner that takes workers that are well for lost, since their
# replies queue on its own link or processor, and starts tasks again that they
# have listed as done.
verbenacroft_fleet(choked_owner --play choked-owner --seeds 1..40)
# The same on links that are wide enough and processors that are fast enough.
verbenacroft_fleet(unchoked_owner
  --play choked-owner --seeds 1..40 --link-factor 4)
# Guards against calls for a worker's former incarnation that take effect in the
# next one: two runs of a task at once, or a start after an end that such a call
# has acknowledged.
verbenacroft_fleet(restarts_under_id --play restarts-under-id --seeds 1..40)
# Guards against starts beyond a team's quota: two shards whose owners both
# start, an owner that is cut off, and a quota that is lowered and raised.
verbenacroft_fleet(teams --play teams --seeds 1..100)
# Guards against more tasks of a step on a worker than its maximum, and against
# more than its capacity: a start beside a run that a late end has superseded or
# that is being stopped.
verbenacroft_fleet(late_ends --play late-ends --seeds 1..100)
# Guards against a job that starts after its cancellation was acknowledged, since
# its submission was carried out late.
verbenacroft_fleet(late_submissions --play late-submissions --seeds 1..60)
# Guards against long-running tasks that wait beside room, since workers that
# crashed together were noticed apart and their tasks close others as suspects.
verbenacroft_fleet(rack_lost_and_back --play rack-lost-and-back --seeds 1..60)
# Guards against a task that crashes one worker after another, and against other
# jobs that fail because they ran beside it.
verbenacroft_fleet(deadly_tasks --play deadly-tasks --seeds 1..60)

add_executable(vcLoad Tests/Bench/vcLoadMain.cxx)
target_link_libraries(vcLoad PRIVATE vcHttp)

# Scenarios with the shipped programs as processes.
foreach(scenario settings kill freeze outage graceful requests forward)
  add_test(NAME process_${scenario}
    COMMAND ${CMAKE_SOURCE_DIR}/Tests/Processes/${scenario}.sh
      ${CMAKE_BINARY_DIR}/bin)
  set_tests_properties(process_${scenario} PROPERTIES
    TIMEOUT 180 PROCESSORS 3)
endforeach()

# Clients that ignore limits. Guards against a process that runs out of memory
# or descriptors, or that answers nobody else.
add_executable(vcUnboundedClients Tests/Processes/vcUnboundedClientsMain.cxx)
target_link_libraries(vcUnboundedClients PRIVATE vcHttp)
# Stand-in of the users' store for tests with processes.
add_executable(vcSiteStoreStandIn
  platform/StandIns/vcSiteStoreStandInMain.cxx Tests/Fleet/vcFleetStore.cxx)
target_include_directories(vcSiteStoreStandIn PRIVATE Tests/Fleet)
target_link_libraries(vcSiteStoreStandIn PRIVATE vcNode vcSitePlatform)
# Further arguments: memory in MB, descriptors and number of clients.
function(verbenacroft_unbounded_program kind address program)
  string(JOIN _ name process_unbounded ${kind} ${address} ${ARGN})
  if(NOT program STREQUAL "node")
    string(JOIN _ name ${name} ${program})
  endif()
  add_test(NAME ${name}
    COMMAND ${CMAKE_SOURCE_DIR}/Tests/Processes/unbounded_clients.sh
      ${CMAKE_BINARY_DIR}/bin ${kind} ${address} ${program} ${ARGN})
  set_tests_properties(${name} PROPERTIES TIMEOUT 180 RUN_SERIAL ON)
endfunction()
function(verbenacroft_unbounded_clients kind)
  foreach(address ${ARGN})
    verbenacroft_unbounded_program(${kind} ${address} node)
  endforeach()
endfunction()
verbenacroft_unbounded_clients(trailers callers ready peers metrics)
verbenacroft_unbounded_clients(chunk-extension callers ready peers metrics)
verbenacroft_unbounded_clients(almost-whole callers ready peers metrics)
verbenacroft_unbounded_clients(connections callers ready peers metrics)
verbenacroft_unbounded_clients(small-chunks callers)
verbenacroft_unbounded_clients(large-chunks callers)
verbenacroft_unbounded_clients(announced callers)
verbenacroft_unbounded_clients(header callers)
verbenacroft_unbounded_clients(pipelined callers)
verbenacroft_unbounded_clients(scrapes metrics)
verbenacroft_unbounded_clients(returning callers)
verbenacroft_unbounded_clients(whole callers)
verbenacroft_unbounded_clients(waiting callers)
verbenacroft_unbounded_clients(waiting-small callers)
# The least of the users' instances, with more clients than it has descriptors
# for.
verbenacroft_unbounded_program(pipelined callers node 160 4100 2600)
verbenacroft_unbounded_program(returning callers node 160 4100 2600)
# The other programs share the servers' library, but not the settings.
foreach(kind trailers almost-whole small-chunks announced pipelined)
  verbenacroft_unbounded_program(${kind} callers router)
  verbenacroft_unbounded_program(${kind} peers scheduler)
  verbenacroft_unbounded_program(${kind} operators config)
endforeach()

add_executable(vcCapacityBench Tests/Bench/vcCapacityMain.cxx)
target_link_libraries(vcCapacityBench PRIVATE vcStandIns vcRouting)

add_executable(vcPolicyBench Tests/Bench/vcPolicyMain.cxx)
target_link_libraries(vcPolicyBench PRIVATE vcStandIns vcPlacement)
add_test(NAME capacity_page
  COMMAND ${CMAKE_SOURCE_DIR}/Tests/Bench/check_capacity.sh
    $<TARGET_FILE:vcCapacityBench>)
