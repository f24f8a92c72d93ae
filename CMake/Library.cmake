include(GNUInstallDirs)

# Adds a static library of Source/Core. The first argument is its name, which is also the name of
# its folder; the remaining arguments are its sources.
function(tanagerbay_library name)
    add_library(${name} STATIC ${ARGN})
    target_include_directories(${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/Source/Core>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/tanagerbay>)
    target_compile_definitions(${name} PUBLIC
        BOOST_ASIO_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED BOOST_BEAST_SEPARATE_COMPILATION)
endfunction()

# Installs the libraries that other programs embed, with their headers and a CMake package file.
function(tanagerbay_install_coordination)
    set(libraries Common Lists Limits Once Membership Placement)
    foreach(name IN LISTS libraries)
        install(DIRECTORY ${PROJECT_SOURCE_DIR}/Source/Core/${name}
            DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/tanagerbay FILES_MATCHING PATTERN "*.h")
    endforeach()
    add_library(coordination INTERFACE)
    target_link_libraries(coordination INTERFACE ${libraries})
    install(TARGETS coordination ${libraries} EXPORT tanagerbay-targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(EXPORT tanagerbay-targets NAMESPACE tanagerbay:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/tanagerbay)
    install(FILES ${PROJECT_SOURCE_DIR}/CMake/tanagerbay-config.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/tanagerbay)
endfunction()
