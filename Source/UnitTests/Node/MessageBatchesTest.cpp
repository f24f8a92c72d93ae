#include "Node/MessageBatches.h"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;

// More workspaces ask for a share than one message holds: none may be left out.
BOOST_AUTO_TEST_CASE(messageBatches_moreRowsThanAMessageHolds_allAreSent)
{
    using Rows = std::vector<int>;
    constexpr int kMaxRows = 200;
    const Common::Address first{"10.0.0.1", 1};
    const Common::Address second{"10.0.0.2", 1};
    Node::MessageBatches<Rows> batches(kMaxRows);
    const auto rowCount = [](const Rows &rows) { return static_cast<int>(rows.size()); };
    for (int i = 0; i < 900; ++i)
        batches.openFor(i % 2 == 0 ? first : second, rowCount).push_back(i);
    std::set<int> sent;
    for (const auto &[address, rows] : batches.takeAll()) {
        BOOST_TEST(rows.size() <= 200u);
        for (const int row : rows) {
            BOOST_TEST((address == (row % 2 == 0 ? first : second)));
            sent.insert(row);
        }
    }
    BOOST_TEST(sent.size() == 900u);
    BOOST_TEST(batches.takeAll().empty());
}
