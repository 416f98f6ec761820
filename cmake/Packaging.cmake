# Installs the state, coordination and protocol libraries with their headers as the CMake package
# `anvilsaddle` and with a pkg-config file, all in the install component `library`.
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(ANVILSADDLE_PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/anvilsaddle)
foreach(LIBRARY state coordination protocol)
  set_target_properties(anvilsaddle_${LIBRARY} PROPERTIES EXPORT_NAME ${LIBRARY})
  add_library(anvilsaddle::${LIBRARY} ALIAS anvilsaddle_${LIBRARY})
  install(TARGETS anvilsaddle_${LIBRARY}
    EXPORT anvilsaddleTargets
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT library
    INCLUDES DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/anvilsaddle)
  install(DIRECTORY src/libs/${LIBRARY}
    DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/anvilsaddle
    COMPONENT library
    FILES_MATCHING PATTERN "*.h")
endforeach()
target_compile_features(anvilsaddle_state PUBLIC cxx_std_20)

install(EXPORT anvilsaddleTargets
  NAMESPACE anvilsaddle::
  DESTINATION ${ANVILSADDLE_PACKAGE_DIR}
  COMPONENT library)
configure_package_config_file(cmake/anvilsaddleConfig.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/anvilsaddleConfig.cmake
  INSTALL_DESTINATION ${ANVILSADDLE_PACKAGE_DIR})
# Before version 1.0, minor versions may change interfaces.
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/anvilsaddleConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${CMAKE_CURRENT_BINARY_DIR}/anvilsaddleConfig.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/anvilsaddleConfigVersion.cmake
  DESTINATION ${ANVILSADDLE_PACKAGE_DIR}
  COMPONENT library)

configure_file(cmake/anvilsaddle.pc.in ${CMAKE_CURRENT_BINARY_DIR}/anvilsaddle.pc @ONLY)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/anvilsaddle.pc
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig
  COMPONENT library)
