// Collects rows of messages to other instances, several rows a message, and begins another message
// where one is full.
#pragma once

#include "Common/Address.h"

#include <map>
#include <utility>
#include <vector>

namespace Tanagerbay::Node {

template <typename Message>
class MessageBatches
{
public:
    explicit MessageBatches(int maxRows) : maxRows(maxRows)
    {
    }

    // Returns the message to the address that takes the next row. `rowCount` counts the rows of a
    // message.
    template <typename RowCount>
    Message &openFor(const Common::Address &address, RowCount rowCount)
    {
        Message &message = this->open[address];
        if (rowCount(message) >= this->maxRows)
            this->full.emplace_back(address, std::exchange(message, Message{}));
        return message;
    }

    // Returns all messages, and begins anew.
    std::vector<std::pair<Common::Address, Message>> takeAll()
    {
        std::vector<std::pair<Common::Address, Message>> all = std::exchange(this->full, {});
        for (auto &[address, message] : std::exchange(this->open, {}))
            all.emplace_back(address, std::move(message));
        return all;
    }

private:
    int maxRows = 0;
    std::map<Common::Address, Message> open;
    std::vector<std::pair<Common::Address, Message>> full;
};

} // namespace Tanagerbay::Node
