#pragma once

#include "configuration/internal/scalartype.h"
#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "framework/types/stringid.h"
#include "framework/types/units.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lavendertally::configuration {

/// Name of letters, digits, dots, hyphens and underscores; see isValidName().
ScalarType<std::string> nameType();

/// Name of a model; may also contain colons and slashes.
ScalarType<std::string> modelNameType();

/// Duration with a unit; see parseDuration().
ScalarType<framework::Milliseconds> durationType();

/// Size with a unit, between \p minimum and \p maximum inclusive.
ScalarType<framework::Bytes> bytesType(framework::Bytes minimum, framework::Bytes maximum);

/// Integer between \p minimum and \p maximum inclusive.
ScalarType<std::uint32_t> countType(std::uint32_t minimum, std::uint32_t maximum);

/// Non-negative decimal number with up to six fractional digits.
ScalarType<framework::MicroCost> costType();

/// Decimal number from zero to \p maximum; the fractional part is truncated.
ScalarType<std::uint32_t> integerPartType(std::uint32_t maximum);

/// Processor capacity as a decimal number of cores, above zero.
ScalarType<framework::Millicores> coresType();

/// \return a type for shares from 0 to 1
ScalarType<double> shareType();

ScalarType<bool> booleanType();

/// IPv4 address and port.
/// \param minimumPort zero for an endpoint to listen on, where the kernel may choose the port; one
/// for an endpoint to connect to
ScalarType<framework::Endpoint> endpointType(std::uint16_t minimumPort);

/// Value of an enumeration, written as one of the given words.
template <typename T>
ScalarType<T> choiceType(std::initializer_list<std::pair<const std::string, T>> choices)
{
    const std::map<std::string, T> table(choices);
    std::string expected = "one of";
    for (const auto &[word, value] : choices) {
        expected += " " + word;
    }
    return {expected, [table](const std::string &text) -> std::optional<T> {
                const auto found = table.find(text);
                return found == table.end() ? std::nullopt : std::optional<T>(found->second);
            }};
}

/// Strongly typed identifier whose text is parsed by \p names.
template <typename Id>
ScalarType<Id> idType(const ScalarType<std::string> &names)
{
    return {names.expected, [names](const std::string &text) -> std::optional<Id> {
                const auto name = names.parse(text);
                return name ? std::optional<Id>(Id(*name)) : std::nullopt;
            }};
}

} // namespace lavendertally::configuration
