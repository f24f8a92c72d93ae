# Finds the dependencies of the installed coordination library, then defines
# tanagerbay::coordination.
include(CMakeFindDependencyMacro)
find_dependency(Boost 1.81 COMPONENTS json)
find_dependency(tl-expected)
find_dependency(OpenSSL COMPONENTS Crypto)
include(${CMAKE_CURRENT_LIST_DIR}/tanagerbay-targets.cmake)
