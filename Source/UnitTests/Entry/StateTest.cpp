#include "Entry/State.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

BOOST_AUTO_TEST_SUITE(StateSuite)

// Guards against an instance that uses the functions of a platform after the object that named them
// has been destroyed.
BOOST_AUTO_TEST_CASE(dialectOfTheCallerChanges_stateKeepsItsOwn)
{
    Dialect dialect{};
    dialect.isReadinessProbe = [](const Http::Request &) { return true; };
    const auto expected = dialect.isReadinessProbe;
    const State state(Settings(), dialect);
    dialect = Dialect{};
    BOOST_TEST((state.dialect.isReadinessProbe == expected));
}

BOOST_AUTO_TEST_SUITE_END()
