#include "StandIns/Answers.h"

#include "Common/Hash.h"

namespace Tanagerbay::StandIns {

namespace json = boost::json;

namespace {

constexpr std::size_t kEmbeddingLength = 8;
constexpr std::size_t kRetrievedDocuments = 6;
constexpr std::size_t kRerankedDocuments = 3;

json::value encode(const json::value &input)
{
    const std::string text = json::serialize(input);
    json::array embedding;
    for (std::size_t i = 0; i < kEmbeddingLength; ++i)
        embedding.emplace_back(static_cast<std::int64_t>(Common::hash64(text, i) % 1000));
    return json::object{{"embedding", embedding}};
}

json::value retrieve(const json::value &input, const json::value &previous)
{
    const std::string query = json::serialize(previous) + json::serialize(input);
    json::array documents;
    for (std::size_t i = 0; i < kRetrievedDocuments; ++i)
        documents.emplace_back("document " + Common::digestOf(query + std::to_string(i)));
    return json::object{{"documents", documents}};
}

json::value rerank(const json::value &previous)
{
    json::array chosen;
    const json::value *documents
        = previous.is_object() ? previous.get_object().if_contains("documents") : nullptr;
    if (documents && documents->is_array()) {
        json::array sorted = documents->get_array();
        std::sort(sorted.begin(), sorted.end(),
                  [](const json::value &left, const json::value &right) {
                      return json::serialize(left) < json::serialize(right);
                  });
        for (std::size_t i = 0; i < sorted.size() && i < kRerankedDocuments; ++i)
            chosen.push_back(sorted[i]);
    }
    return json::object{{"documents", chosen}};
}

} // namespace

json::value stageOutput(std::string_view kind, const json::value &input,
                        const json::value &previous)
{
    if (kind == "encoding")
        return encode(input);
    if (kind == "retrieval")
        return retrieve(input, previous);
    return rerank(previous);
}

std::string tokenAt(std::string_view promptDigest, std::size_t index)
{
    constexpr std::size_t kTokenLetters = 5;
    constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz";
    std::uint64_t number = Common::hash64(promptDigest, index);
    std::string token = " ";
    for (std::size_t i = 0; i < kTokenLetters; ++i) {
        token.push_back(kLetters[number % kLetters.size()]);
        number /= kLetters.size();
    }
    return token;
}

std::vector<std::string> answerTokens(std::string_view prompt, std::size_t count)
{
    const std::string digest = Common::digestOf(prompt);
    std::vector<std::string> tokens;
    for (std::size_t i = 0; i < count; ++i)
        tokens.push_back(tokenAt(digest, i));
    return tokens;
}

std::string serviceReply(std::string_view service, std::string_view path, std::string_view body)
{
    return json::serialize(json::object{
        {"service", service},
        {"path", path},
        {"receipt",
         Common::digestOf(std::string(service) + "/" + std::string(path) + "\n"
                          + std::string(body))},
    });
}

} // namespace Tanagerbay::StandIns
