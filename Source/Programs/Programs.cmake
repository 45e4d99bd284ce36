add_executable(verbenacroft-scheduler Source/Programs/vcSchedulerMain.cxx)
target_link_libraries(verbenacroft-scheduler PRIVATE vcShell)
add_executable(verbenacroft-config Source/Programs/vcConfigMain.cxx)
target_link_libraries(verbenacroft-config PRIVATE vcShell)
add_executable(verbenacroft-router Source/Programs/vcRouterMain.cxx)
target_link_libraries(verbenacroft-router PRIVATE vcRouter)
add_executable(verbenacroft-node Source/Programs/vcNodeMain.cxx)
target_link_libraries(verbenacroft-node PRIVATE vcNode vcSitePlatform)

add_executable(verbenactl
  Source/Programs/vcCtlMain.cxx Source/Programs/vcCtl.cxx)
target_link_libraries(verbenactl PRIVATE vcShell)
add_executable(verbenacroft-burn Source/Programs/vcBurnMain.cxx)
target_link_libraries(verbenacroft-burn PRIVATE vcBurn)
foreach(example Trust Consortium)
  add_executable(vc${example}Example
    Source/Operators/Examples/vc${example}Example.cxx)
  target_link_libraries(vc${example}Example PRIVATE vcOperators)
endforeach()
