# Finds what the libraries are linked with. Use: find_package(persimmongrade), then link persimmongrade::persimmongrade_<name>.
include(CMakeFindDependencyMacro)
find_dependency(glog)
find_dependency(yaml-cpp)
find_dependency(prometheus-cpp COMPONENTS core)
find_dependency(Boost COMPONENTS program_options)
find_dependency(nlohmann_json)
include(${CMAKE_CURRENT_LIST_DIR}/persimmongrade-targets.cmake)
