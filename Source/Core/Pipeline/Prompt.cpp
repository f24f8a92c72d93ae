#include "Pipeline/Prompt.h"

#include "Common/JsonReader.h"

namespace Tanagerbay::Pipeline {

namespace json = boost::json;

namespace {

const json::value *memberOf(const json::value &value, std::string_view key)
{
    return value.is_object() ? value.get_object().if_contains({key.data(), key.size()}) : nullptr;
}

void appendText(std::string &prompt, const json::value *value)
{
    if (!value)
        return;
    if (value->is_string())
        prompt.append(value->get_string().data(), value->get_string().size());
    else
        prompt.append(json::serialize(*value));
    prompt.push_back('\n');
}

} // namespace

Common::Result<RequestBody> parseRequestBody(std::string_view text, std::int64_t maxTokensAllowed)
{
    Common::JsonFaults faults;
    auto document = Common::parseJson(text, faults);
    RequestBody body;
    if (document) {
        Common::ObjectReader reader(*document, "", faults);
        const json::value *input = reader.member("input");
        if (!input)
            reader.fault("input", "is required");
        else
            body.input = *input;
        body.stream = reader.flag("stream", false);
        body.maxTokens = reader.integer("maxTokens", 1, maxTokensAllowed, 0);
        reader.finish();
    }
    if (!faults.empty())
        return Common::notRun(Common::ErrorCode::BadInput, Common::describeFaults(faults));
    return body;
}

std::string stageBody(const json::value &input, const json::value &previous)
{
    return json::serialize(json::object{{"input", input}, {"previous", previous}});
}

std::optional<json::value> stageOutput(std::string_view body)
{
    boost::system::error_code error;
    const json::value document = json::parse({body.data(), body.size()}, error);
    if (error)
        return std::nullopt;
    const json::value *output = memberOf(document, "output");
    if (!output)
        return std::nullopt;
    return *output;
}

std::string buildPrompt(const json::value &input, const json::value &previous)
{
    std::string prompt;
    appendText(prompt, memberOf(input, "context"));
    const json::value *documents = memberOf(previous, "documents");
    if (documents && documents->is_array()) {
        for (const json::value &document : documents->get_array())
            appendText(prompt, &document);
    }
    const json::value *text = memberOf(input, "text");
    appendText(prompt, text ? text : &input);
    return prompt;
}

std::string generationBody(std::string_view prompt, std::string_view model, std::int64_t maxTokens,
                           const std::vector<std::string> &prefix)
{
    json::array tokens;
    for (const std::string &token : prefix)
        tokens.emplace_back(token);
    return json::serialize(json::object{
        {"prompt", prompt}, {"model", model}, {"maxTokens", maxTokens}, {"prefix", tokens}});
}

} // namespace Tanagerbay::Pipeline
