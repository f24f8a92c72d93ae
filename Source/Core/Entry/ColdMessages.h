// Form in which instances tell each other of endpoints that are cold.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <vector>

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

struct ColdNews
{
    Common::EndpointId endpoint;
    // How long the endpoint stays cold, as of the message.
    Common::Milliseconds left{0};
};

// Adds the news to a message; nothing if there are none.
void attachColdNews(boost::json::object &message, const std::vector<ColdNews> &news);

// Reads the news of a message. Entries that cannot be read are left out.
std::vector<ColdNews> readColdNews(const boost::json::object &message);

} // namespace Tanagerbay::Entry
