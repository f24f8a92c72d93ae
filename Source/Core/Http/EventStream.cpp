#include "Http/EventStream.h"

#include "Common/EventLimits.h"

#include <algorithm>

namespace Tanagerbay::Http {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

void appendField(std::string &buffer, std::string_view name, std::string_view value)
{
    buffer.append(name);
    buffer.append(": ");
    buffer.append(value);
    buffer.push_back('\n');
}

void parseField(std::string_view line, Event &event)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return;
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "id") {
        event.id = value;
    } else if (name == "event") {
        event.type = value;
    } else if (name == "data") {
        if (!event.data.empty())
            event.data.push_back('\n');
        event.data.append(value);
    }
}

} // namespace

void appendEvent(std::string &buffer, const Event &event)
{
    if (!event.id.empty())
        appendField(buffer, "id", event.id);
    if (!event.type.empty())
        appendField(buffer, "event", event.type);
    std::string_view data = event.data;
    while (true) {
        const std::size_t end = data.find('\n');
        appendField(buffer, "data", data.substr(0, end));
        if (end == std::string_view::npos)
            break;
        data.remove_prefix(end + 1);
    }
    buffer.push_back('\n');
}

void EventParser::feed(std::string_view bytes)
{
    if (this->offset > 0) {
        this->buffer.erase(0, this->offset);
        this->searched -= std::min(this->searched, this->offset);
        this->offset = 0;
    }
    this->buffer.append(bytes);
}

bool EventParser::next(Event &event)
{
    const std::size_t end = this->buffer.find(kEventEnd, std::max(this->offset, this->searched));
    if (end == std::string::npos) {
        // The first byte of the end may have arrived.
        this->searched = this->buffer.size() - std::min<std::size_t>(this->buffer.size(), 1);
        return false;
    }
    std::string_view block(this->buffer.data() + this->offset, end - this->offset);
    event.id.clear();
    event.type.clear();
    event.data.clear();
    while (!block.empty()) {
        const std::size_t lineEnd = block.find('\n');
        parseField(block.substr(0, lineEnd), event);
        if (lineEnd == std::string_view::npos)
            break;
        block.remove_prefix(lineEnd + 1);
    }
    this->offset = end + kEventEnd.size();
    return true;
}

bool EventParser::isEventTooLong() const
{
    return this->buffer.size() - this->offset > Common::kMaxEventBytes;
}

bool EventParser::hasPartialEvent() const
{
    return this->offset < this->buffer.size();
}

} // namespace Tanagerbay::Http
