#include "Common/JsonReader.h"

namespace Tanagerbay::Common {

std::string describeFaults(const JsonFaults &faults)
{
    std::string text;
    for (const JsonFault &fault : faults) {
        if (!text.empty())
            text += '\n';
        text += fault.path.empty() ? "(document)" : fault.path;
        text += ": " + fault.message;
    }
    return text;
}

std::optional<boost::json::value> parseJson(std::string_view text, JsonFaults &faults)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
    if (error) {
        faults.push_back({"", "is not valid JSON: " + error.message()});
        return std::nullopt;
    }
    return value;
}

ObjectReader::ObjectReader(const boost::json::value &value, std::string path, JsonFaults &faults)
    : path(std::move(path)), faults(faults)
{
    if (value.is_object())
        this->object = &value.get_object();
    else
        this->faults.push_back({this->path, "must be an object"});
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return this->path.empty() ? std::string(key) : this->path + "." + std::string(key);
}

std::string ObjectReader::pathOf(std::string_view key, std::size_t index) const
{
    return this->pathOf(key) + "[" + std::to_string(index) + "]";
}

void ObjectReader::fault(std::string_view key, std::string message)
{
    this->faults.push_back({this->pathOf(key), std::move(message)});
}

const boost::json::value *ObjectReader::find(std::string_view key, bool required)
{
    this->readKeys.emplace(key);
    if (!this->object)
        return nullptr;
    const boost::json::value *value = this->object->if_contains({key.data(), key.size()});
    if (!value && required)
        this->fault(key, "is required");
    return value;
}

const boost::json::value *ObjectReader::member(std::string_view key)
{
    return this->find(key, false);
}

std::string ObjectReader::text(std::string_view key, std::optional<std::string> fallback)
{
    const boost::json::value *value = this->find(key, !fallback);
    if (!value)
        return fallback.value_or("");
    if (!value->is_string()) {
        this->fault(key, "must be a string");
        return fallback.value_or("");
    }
    if (value->get_string().empty() && !fallback)
        this->fault(key, "must not be empty");
    return std::string(value->get_string());
}

std::int64_t ObjectReader::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                                   std::optional<std::int64_t> fallback)
{
    const std::int64_t defaultValue = fallback.value_or(minimum);
    const boost::json::value *value = this->find(key, !fallback);
    if (!value)
        return defaultValue;
    if (!value->is_int64()) {
        this->fault(key, "must be a whole number");
        return defaultValue;
    }
    if (value->get_int64() < minimum || value->get_int64() > maximum) {
        this->fault(key,
                    "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                        + ", is " + std::to_string(value->get_int64()));
        return defaultValue;
    }
    return value->get_int64();
}

double ObjectReader::number(std::string_view key, double minimum, double maximum,
                            std::optional<double> fallback)
{
    const double defaultValue = fallback.value_or(minimum);
    const boost::json::value *value = this->find(key, !fallback);
    if (!value)
        return defaultValue;
    if (!value->is_number()) {
        this->fault(key, "must be a number");
        return defaultValue;
    }
    const double number = value->to_number<double>();
    if (number < minimum || number > maximum) {
        this->fault(key,
                    "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                        + ", is " + std::to_string(number));
        return defaultValue;
    }
    return number;
}

bool ObjectReader::flag(std::string_view key, std::optional<bool> fallback)
{
    const boost::json::value *value = this->find(key, !fallback);
    if (!value)
        return fallback.value_or(false);
    if (!value->is_bool()) {
        this->fault(key, "must be true or false");
        return fallback.value_or(false);
    }
    return value->get_bool();
}

const boost::json::array &ObjectReader::array(std::string_view key, bool required)
{
    static const boost::json::array kEmpty;
    const boost::json::value *value = this->find(key, required);
    if (!value)
        return kEmpty;
    if (!value->is_array()) {
        this->fault(key, "must be an array");
        return kEmpty;
    }
    return value->get_array();
}

std::vector<std::string> ObjectReader::textArray(std::string_view key, bool required)
{
    std::vector<std::string> texts;
    const boost::json::array &values = this->array(key, required);
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (values[i].is_string())
            texts.emplace_back(values[i].get_string());
        else
            this->faults.push_back({this->pathOf(key, i), "must be a string"});
    }
    return texts;
}

void ObjectReader::finish()
{
    if (!this->object)
        return;
    for (const auto &member : *this->object) {
        if (!this->readKeys.contains(std::string_view(member.key())))
            this->fault(member.key(), "is not a known key");
    }
}

} // namespace Tanagerbay::Common
