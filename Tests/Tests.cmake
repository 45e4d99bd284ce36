add_library(vcStandIns STATIC
  Tests/StandIns/vcFakeStore.cxx Tests/StandIns/vcFakeFleet.cxx)
target_include_directories(vcStandIns PUBLIC Tests/StandIns)
target_link_libraries(vcStandIns PUBLIC vcScheduler)
add_executable(vcPlatformStandIn
  Tests/StandIns/vcPlatformStandInMain.cxx)
target_link_libraries(vcPlatformStandIn PRIVATE vcStandIns)
add_executable(vcFreePorts Tests/StandIns/vcFreePortsMain.cxx)
target_link_libraries(vcFreePorts PRIVATE vcHttp)
