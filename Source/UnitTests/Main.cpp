// Entry point of the unit tests.
#define BOOST_TEST_MODULE tanagerbay
#include <boost/test/included/unit_test.hpp>
