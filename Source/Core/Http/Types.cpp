#include "Http/Types.h"

namespace Tanagerbay::Http {

namespace {

char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equalWithoutCase(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    for (std::size_t i = 0; i < left.size(); ++i) {
        if (toLower(left[i]) != toLower(right[i]))
            return false;
    }
    return true;
}

} // namespace

std::string_view Headers::find(std::string_view name) const
{
    for (const Header &field : this->fields) {
        if (equalWithoutCase(field.name, name))
            return field.value;
    }
    return {};
}

void Headers::add(std::string_view name, std::string_view value)
{
    this->fields.push_back({std::string(name), std::string(value)});
}

Target splitTarget(std::string_view target)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return {target, {}};
    return {target.substr(0, mark), target.substr(mark + 1)};
}

std::string_view queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
        if (end == std::string_view::npos)
            break;
        query.remove_prefix(end + 1);
    }
    return {};
}

std::vector<std::string_view> pathSegments(std::string_view path)
{
    std::vector<std::string_view> segments;
    while (!path.empty()) {
        const std::size_t slash = path.find('/');
        const std::string_view segment = path.substr(0, slash);
        if (!segment.empty())
            segments.push_back(segment);
        if (slash == std::string_view::npos)
            break;
        path.remove_prefix(slash + 1);
    }
    return segments;
}

Response jsonResponse(unsigned status, std::string body)
{
    Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace Tanagerbay::Http
