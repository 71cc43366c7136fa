#include "orders/internal/leasejson.h"

#include "orders/types/leaserecord.h"

#include <nlohmann/json.hpp>

namespace lavendertally::orders {

namespace {

using nlohmann::json;

json encodeBasis(const LeaseBasis &basis)
{
    switch (basis.kind) {
    case LeaseBasis::Kind::Nothing:
        return nullptr;
    case LeaseBasis::Kind::After:
        return basis.after.value();
    case LeaseBasis::Kind::Anything:
        return "any";
    }
    return nullptr;
}

std::optional<LeaseBasis> decodeBasis(const json &value)
{
    if (value.is_null()) {
        return LeaseBasis{LeaseBasis::Kind::Nothing, {}};
    }
    if (value.is_number_unsigned()) {
        return LeaseBasis{LeaseBasis::Kind::After,
                          framework::LogOffset(value.get<std::uint64_t>())};
    }
    if (value == "any") {
        return LeaseBasis{LeaseBasis::Kind::Anything, {}};
    }
    return std::nullopt;
}

std::optional<LeaseRecord::Kind> decodeKind(const json &value)
{
    if (value == "lease") {
        return LeaseRecord::Kind::Lease;
    }
    if (value == "release") {
        return LeaseRecord::Kind::Release;
    }
    return std::nullopt;
}

bool hasMembers(const json &body)
{
    return body.is_object() && body.contains("kind") && body.contains("holder")
        && body.contains("attempt") && body.contains("after") && body.contains("duration_ms")
        && body["holder"].is_string() && body["attempt"].is_number_unsigned()
        && body["duration_ms"].is_number_unsigned();
}

} // namespace

std::string encodeLeaseRecord(const LeaseRecord &record)
{
    const bool isLease = record.kind == LeaseRecord::Kind::Lease;
    const json body{{"kind", isLease ? "lease" : "release"},
                    {"holder", record.holder.value()},
                    {"attempt", record.attempt},
                    {"after", encodeBasis(record.basis)},
                    {"duration_ms", static_cast<std::uint64_t>(record.duration.value())}};
    return body.dump();
}

std::optional<LeaseRecord> decodeLeaseRecord(const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    if (!hasMembers(body)) {
        return std::nullopt;
    }
    const auto kind = decodeKind(body["kind"]);
    const auto basis = decodeBasis(body["after"]);
    if (!kind || !basis) {
        return std::nullopt;
    }
    return LeaseRecord{*kind, HolderId(body["holder"].get<std::string>()),
                       body["attempt"].get<std::uint64_t>(), *basis,
                       framework::Milliseconds(body["duration_ms"].get<std::int64_t>())};
}

} // namespace lavendertally::orders
