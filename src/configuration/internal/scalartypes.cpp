#include "configuration/internal/scalartypes.h"

#include "configuration/valueparsing.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <string_view>

namespace lavendertally::configuration {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr std::int64_t MillisecondsPerMinute = 60 * MillisecondsPerSecond;
constexpr std::int64_t MillisecondsPerHour = 60 * MillisecondsPerMinute;
constexpr std::int64_t MillisecondsPerDay = 24 * MillisecondsPerHour;
constexpr std::int64_t MaxDurationMilliseconds = 30 * MillisecondsPerDay;
constexpr std::int64_t BytesPerKilobyte = 1024;
constexpr std::int64_t BytesPerMegabyte = 1024 * BytesPerKilobyte;
constexpr std::int64_t BytesPerGigabyte = 1024 * BytesPerMegabyte;
constexpr std::int64_t MicrosPerUnit = 1000000;
constexpr std::size_t CostDigits = 6;
constexpr std::int64_t MaxCostUnits = 1000000;

struct Unit
{
    std::string_view suffix;
    std::int64_t factor;
};

constexpr Unit DurationUnits[] = {{"ms", 1},
                                  {"s", MillisecondsPerSecond},
                                  {"m", MillisecondsPerMinute},
                                  {"h", MillisecondsPerHour}};
constexpr Unit SizeUnits[] = {
    {"B", 1}, {"KB", BytesPerKilobyte}, {"MB", BytesPerMegabyte}, {"GB", BytesPerGigabyte}};

std::optional<std::int64_t> parseDigits(std::string_view text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    const bool isNumber = error == std::errc{} && rest == end && !text.empty();
    return isNumber && text.front() != '-' ? std::optional(value) : std::nullopt;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0.0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

template <std::size_t Count>
std::optional<std::int64_t> parseQuantity(std::string_view text, const Unit (&units)[Count],
                                          std::int64_t maximum)
{
    const std::size_t length = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = parseDigits(text.substr(0, length));
    const auto unit = std::find_if(std::begin(units), std::end(units), [&](const Unit &candidate) {
        return candidate.suffix == text.substr(length);
    });
    if (!number || unit == std::end(units) || *number > maximum / unit->factor) {
        return std::nullopt;
    }
    return *number * unit->factor;
}

bool isIdentifier(const std::string &text, std::string_view punctuation)
{
    const auto isAllowed = [punctuation](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || punctuation.find(c) != std::string_view::npos;
    };
    const bool hasLength = !text.empty() && text.size() <= MaxNameLength;
    return hasLength && text.front() != '.' && text.front() != '-'
        && std::all_of(text.begin(), text.end(), isAllowed);
}

ScalarType<std::string> identifierType(std::string expected, std::string_view punctuation)
{
    return {std::move(expected), [punctuation](const std::string &text) {
                return isIdentifier(text, punctuation) ? std::optional(text) : std::nullopt;
            }};
}

std::optional<framework::MicroCost> parseCost(std::string_view text)
{
    const std::size_t point = std::min(text.find('.'), text.size());
    const auto whole = parseDigits(text.substr(0, point));
    std::string fraction(text.substr(std::min(point + 1, text.size())));
    const bool endsInPoint = point < text.size() && fraction.empty();
    if (!whole || *whole > MaxCostUnits || fraction.size() > CostDigits || endsInPoint) {
        return std::nullopt;
    }
    fraction.resize(CostDigits, '0');
    const auto micros = parseDigits(fraction);
    if (!micros) {
        return std::nullopt;
    }
    return framework::MicroCost(*whole * MicrosPerUnit + *micros);
}

} // namespace

bool isValidName(const std::string &text)
{
    return isIdentifier(text, "._-");
}

std::optional<framework::Milliseconds> parseDuration(const std::string &text)
{
    const std::size_t length = std::min(text.find_first_not_of("0123456789."), text.size());
    const auto number = parseDecimal(std::string_view(text).substr(0, length));
    const auto unit = std::find_if(
        std::begin(DurationUnits), std::end(DurationUnits), [&](const Unit &candidate) {
            return candidate.suffix == std::string_view(text).substr(length);
        });
    if (!number || unit == std::end(DurationUnits)) {
        return std::nullopt;
    }
    const double value = *number * static_cast<double>(unit->factor);
    if (value < 1.0 || value > static_cast<double>(MaxDurationMilliseconds)) {
        return std::nullopt;
    }
    return framework::Milliseconds(std::llround(value));
}

std::optional<framework::Endpoint> parseEndpoint(const std::string &text, std::uint16_t minimumPort)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string address = text.substr(0, colon);
    const auto port = parseDigits(std::string_view(text).substr(colon + 1));
    in_addr parsed{};
    const bool isAddress = inet_pton(AF_INET, address.c_str(), &parsed) == 1;
    if (!isAddress || !port || *port < minimumPort || *port > UINT16_MAX) {
        return std::nullopt;
    }
    return framework::Endpoint{address, static_cast<std::uint16_t>(*port)};
}

ScalarType<std::string> nameType()
{
    return identifierType("a name of at most 64 letters, digits, '.', '-' and '_'", "._-");
}

ScalarType<std::string> modelNameType()
{
    return identifierType("a name of at most 64 letters, digits, '.', '-', '_', ':' and '/'",
                          "._-:/");
}

ScalarType<std::uint32_t> integerPartType(std::uint32_t maximum)
{
    return {"a number from 0 to " + std::to_string(maximum) + "; what follows the point is cut off",
            [maximum](const std::string &text) -> std::optional<std::uint32_t> {
                const auto number = parseDecimal(text);
                if (!number || *number < 0.0 || *number > maximum) {
                    return std::nullopt;
                }
                return static_cast<std::uint32_t>(*number);
            }};
}

ScalarType<framework::Millicores> coresType()
{
    constexpr double MillicoresPerCore = 1000.0;
    constexpr double MaxCores = 1024.0;
    return {"a number of cores above zero, such as 0.5, at most 1024",
            [=](const std::string &text) -> std::optional<framework::Millicores> {
                const auto cores = parseDecimal(text);
                if (!cores || *cores <= 0.0 || *cores > MaxCores) {
                    return std::nullopt;
                }
                return framework::Millicores(std::llround(*cores * MillicoresPerCore));
            }};
}

ScalarType<double> shareType()
{
    return {"a share from 0 to 1, such as 0.1", [](const std::string &text) {
                const auto share = parseDecimal(text);
                return share && *share >= 0.0 && *share <= 1.0 ? share : std::nullopt;
            }};
}

ScalarType<framework::Milliseconds> durationType()
{
    return {"a duration above zero with unit ms, s, m or h, such as 500ms, at most 720h",
            parseDuration};
}

ScalarType<framework::Bytes> bytesType(framework::Bytes minimum, framework::Bytes maximum)
{
    const std::string expected = "a size with unit B, KB, MB or GB, such as 64KB, from "
        + std::to_string(minimum.value()) + "B to " + std::to_string(maximum.value()) + "B";
    return {expected, [=](const std::string &text) -> std::optional<framework::Bytes> {
                const auto value = parseQuantity(text, SizeUnits, maximum.value());
                if (!value || *value < minimum.value()) {
                    return std::nullopt;
                }
                return framework::Bytes(*value);
            }};
}

ScalarType<std::uint32_t> countType(std::uint32_t minimum, std::uint32_t maximum)
{
    const std::string expected =
        "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    return {expected, [=](const std::string &text) -> std::optional<std::uint32_t> {
                const auto value = parseDigits(text);
                if (!value || *value < minimum || *value > maximum) {
                    return std::nullopt;
                }
                return static_cast<std::uint32_t>(*value);
            }};
}

ScalarType<framework::MicroCost> costType()
{
    return {"a decimal of at least zero with at most six digits after the point, such as 1.25",
            [](const std::string &text) { return parseCost(text); }};
}

ScalarType<bool> booleanType()
{
    return choiceType<bool>({{"true", true}, {"false", false}});
}

ScalarType<framework::Endpoint> endpointType(std::uint16_t minimumPort)
{
    const std::string expected = "an IPv4 address and a port from " + std::to_string(minimumPort)
        + " to 65535, such as 127.0.0.1:8080";
    return {expected,
            [minimumPort](const std::string &text) { return parseEndpoint(text, minimumPort); }};
}

} // namespace lavendertally::configuration
