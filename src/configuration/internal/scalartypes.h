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

/// Name of letters, digits, dots, hyphens and underscores.
ScalarType<std::string> nameType();

/// Name of a model, which may also contain colons and slashes.
ScalarType<std::string> modelNameType();

/// Length of time with a unit, greater than zero.
ScalarType<framework::Milliseconds> durationType();

/// Size with a unit, within the bounds.
ScalarType<framework::Bytes> bytesType(framework::Bytes minimum, framework::Bytes maximum);

/// Whole number within the bounds.
ScalarType<std::uint32_t> countType(std::uint32_t minimum, std::uint32_t maximum);

/// Decimal with up to six digits after the point.
ScalarType<framework::MicroCost> costType();

/// A number with or without decimals, of which the whole part counts.
ScalarType<std::uint32_t> wholePartType(std::uint32_t maximum);

ScalarType<bool> booleanType();

/// IPv4 address and port.
/// \param minimumPort zero where the kernel may choose, one where the endpoint is a peer's
ScalarType<framework::Endpoint> endpointType(std::uint16_t minimumPort);

/// One of several words.
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

/// The identifier that \p names gives as text.
template <typename Id>
ScalarType<Id> idType(const ScalarType<std::string> &names)
{
    return {names.expected, [names](const std::string &text) -> std::optional<Id> {
                const auto name = names.parse(text);
                return name ? std::optional<Id>(Id(*name)) : std::nullopt;
            }};
}

} // namespace lavendertally::configuration
