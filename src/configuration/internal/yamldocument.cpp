#include "configuration/internal/yamldocument.h"

#include "configuration/internal/diagnosticsink.h"
#include "configuration/internal/yamlposition.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace lavendertally::configuration {

namespace {

constexpr std::size_t MaxFileBytes = 1024 * 1024;

/// \return length of the UTF-8 sequence that starts at \p position, or zero when it is invalid
std::size_t sequenceLength(std::string_view text, std::size_t position)
{
    const auto lead = static_cast<unsigned char>(text[position]);
    std::size_t length = 0;
    if (lead < 0x80) {
        length = 1;
    } else if (lead >= 0xC2 && lead < 0xE0) {
        length = 2;
    } else if (lead >= 0xE0 && lead < 0xF0) {
        length = 3;
    } else if (lead >= 0xF0 && lead < 0xF5) {
        length = 4;
    }
    if (position + length > text.size()) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((static_cast<unsigned char>(text[position + i]) & 0xC0) != 0x80) {
            return 0;
        }
    }
    return length;
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < ' ' && c != '\n' && c != '\t' && c != '\r';
}

FilePosition positionOf(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto lines = std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n') + 1;
    return {static_cast<int>(lines) + 1, static_cast<int>(offset - lineStart) + 1};
}

bool checkEncoding(std::string_view text, DiagnosticSink &sink)
{
    for (std::size_t position = 0; position < text.size();) {
        const std::size_t length = sequenceLength(text, position);
        if (length == 0 || isControl(text[position])) {
            sink.report(positionOf(text, position), "", "text in UTF-8 without control characters");
            return false;
        }
        position += length;
    }
    return true;
}

bool checkText(const std::string &text, DiagnosticSink &sink)
{
    if (text.size() > MaxFileBytes) {
        sink.report({}, "", "a file of at most 1MB");
        return false;
    }
    return checkEncoding(text, sink);
}

std::optional<YAML::Node> loadOnlyDocument(const std::string &text, DiagnosticSink &sink)
{
    const std::vector<YAML::Node> documents = YAML::LoadAll(text);
    if (documents.empty() || documents.front().IsNull()) {
        sink.report({}, "", "a mapping; the file is empty");
        return std::nullopt;
    }
    if (documents.size() > 1) {
        sink.report(toPosition(documents[1].Mark()), "", "one YAML document in a file");
        return std::nullopt;
    }
    if (!documents.front().IsMap()) {
        sink.report(toPosition(documents.front().Mark()), "", "a mapping of keys to values");
        return std::nullopt;
    }
    return documents.front();
}

} // namespace

std::optional<YAML::Node> parseDocument(const std::string &text, DiagnosticSink &sink)
{
    if (!checkText(text, sink)) {
        return std::nullopt;
    }
    try {
        return loadOnlyDocument(text, sink);
    } catch (const YAML::Exception &exception) {
        sink.report(toPosition(exception.mark), "", "valid YAML (" + exception.msg + ")");
        return std::nullopt;
    }
}

} // namespace lavendertally::configuration
