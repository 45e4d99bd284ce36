add_library(vcStandIns STATIC
  Tests/StandIns/vcFakeStore.cxx Tests/StandIns/vcFakeFleet.cxx)
target_include_directories(vcStandIns PUBLIC Tests/StandIns)
target_link_libraries(vcStandIns PUBLIC vcScheduler)
