#include "claims/internal/jsonclaimcodec.h"

#include "claims/types/claimerror.h"

#include <nlohmann/json.hpp>

namespace lavendertally::claims {

using framework::DaemonId;
using framework::RequestId;
using framework::Result;
using framework::StageId;
using framework::TeamId;
using framework::TimePoint;
using nlohmann::json;

namespace {

constexpr const char *KindClaim = "claim";
constexpr const char *KindDone = "done";
constexpr const char *KindReleased = "released";

json commonFields(const char *kind, const ClaimKey &key, const ClaimId &id)
{
    return {{"kind", kind},
            {"team", key.team.value()},
            {"request", key.request.value()},
            {"stage", key.stage.value()},
            {"id", id.value()}};
}

json toJson(const ClaimMade &made)
{
    json object = commonFields(KindClaim, made.key, made.id);
    object["claimant"] = made.claimant.value();
    object["issued_at"] = made.issuedAt.sinceEpoch();
    object["made_at"] = made.madeAt.sinceEpoch();
    return object;
}

json toJson(const StageDone &done)
{
    json object = commonFields(KindDone, done.key, done.id);
    if (done.result) {
        object["result"] = *done.result;
    }
    return object;
}

json toJson(const ClaimReleased &released)
{
    json object = commonFields(KindReleased, released.key, released.id);
    object["issued_at"] = released.issuedAt.sinceEpoch();
    return object;
}

std::string text(const json &object, const char *name)
{
    return object.at(name).get<std::string>();
}

TimePoint time(const json &object, const char *name)
{
    return TimePoint(object.at(name).get<std::int64_t>());
}

Result<ClaimRecord> fromJson(const json &object)
{
    const ClaimKey key{TeamId(text(object, "team")), RequestId(text(object, "request")),
                       StageId(text(object, "stage"))};
    const ClaimId id(text(object, "id"));
    const std::string kind = text(object, "kind");
    if (kind == KindClaim) {
        return ClaimMade{key, id, DaemonId(text(object, "claimant")), time(object, "issued_at"),
                         time(object, "made_at")};
    }
    if (kind == KindReleased) {
        return ClaimReleased{key, id, time(object, "issued_at")};
    }
    if (kind != KindDone) {
        return boost::leaf::new_error(ClaimError::MalformedRecord);
    }
    StageDone done{key, id, std::nullopt};
    if (object.contains("result")) {
        done.result = text(object, "result");
    }
    return done;
}

} // namespace

Result<std::string> JsonClaimCodec::encode(const ClaimRecord &record) const
{
    try {
        return std::visit([](const auto &typed) { return toJson(typed).dump(); }, record);
    } catch (const json::exception &) {
        return boost::leaf::new_error(ClaimError::InvalidUtf8);
    }
}

Result<ClaimRecord> JsonClaimCodec::decode(std::string_view text) const
{
    try {
        return fromJson(json::parse(text));
    } catch (const json::exception &) {
        return boost::leaf::new_error(ClaimError::MalformedRecord);
    }
}

} // namespace lavendertally::claims
