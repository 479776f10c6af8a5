# hickorypost_module(NAME DEPS ...): the library of modules/NAME.
function(hickorypost_module name)
  hickorypost_library(${name} modules/${name} ${ARGN})
endfunction()

# hickorypost_library(NAME FOLDER DEPS ...): a static library of FOLDER/src with its public headers in
# FOLDER/include, and, where FOLDER/tests holds tests, one Boost.Test program for them.
function(hickorypost_library name folder)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  set(dir ${CMAKE_CURRENT_SOURCE_DIR}/${folder})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/src/*.cpp)
  add_library(hickorypost_${name} STATIC ${sources})
  target_include_directories(hickorypost_${name} PUBLIC ${dir}/include PRIVATE ${dir}/src)
  target_link_libraries(hickorypost_${name} PUBLIC ${ARG_DEPS})
  file(GLOB tests CONFIGURE_DEPENDS ${dir}/tests/*.cpp)
  if(tests AND HICKORYPOST_TESTS)
    hickorypost_test(test_${name} ${tests})
    target_link_libraries(test_${name} PRIVATE hickorypost_${name})
    target_compile_definitions(test_${name} PRIVATE HICKORYPOST_TEST_DATA="${dir}/tests/data")
  endif()
endfunction()

# hickorypost_test(NAME SOURCES...): a Boost.Test program registered with CTest.
function(hickorypost_test name)
  add_executable(${name} ${ARGN} ${PROJECT_SOURCE_DIR}/tests/support/test_main.cpp)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests/support)
  target_link_libraries(${name} PRIVATE Boost::unit_test_framework ${RAPIDCHECK})
  add_test(NAME ${name} COMMAND ${name} --log_level=message --color_output=no)
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
