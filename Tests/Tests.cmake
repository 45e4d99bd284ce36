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
  Tests/Scenarios/vcWorld.cxx Tests/Scenarios/vcWorldChecks.cxx
  Tests/Scenarios/vcScenarioVerbs.cxx)
target_include_directories(vcScenarios PUBLIC Tests/Scenarios)
target_include_directories(vcScenarios SYSTEM PUBLIC ${LUA_INCLUDE_DIR})
target_link_libraries(vcScenarios PUBLIC vcStandIns vcRouting vcRequests
  ${LUA_LIBRARY})
add_executable(vcScenario Tests/Scenarios/vcScenarioMain.cxx)
target_link_libraries(vcScenario PRIVATE vcScenarios)
