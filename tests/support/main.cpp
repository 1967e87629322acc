#define BOOST_TEST_MODULE dragonflysill
#include <boost/test/unit_test.hpp>
