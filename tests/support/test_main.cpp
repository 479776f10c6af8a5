/// Entry point shared by every Boost.Test program.
#define BOOST_TEST_MODULE hickorypost
#include <boost/test/unit_test.hpp>
