#include "platform/internal/stagecodec.h"

#include "framework/types/errorcontext.h"
#include "http/headerlookup.h"
#include "http/types/httpresponse.h"
#include "platform/internal/answercodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/encodeerror.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavendertally::platform {

namespace {

constexpr int HttpOk = 200;
constexpr int MisdirectedRequest = 421;

stages::PieceOutcome decodePiece(const nlohmann::json &json)
{
    stages::PieceOutcome outcome;
    const auto handle = json.is_object() ? json.find("handleId") : json.end();
    const bool hasResult = handle != json.end() && handle->is_string()
        && !handle->get_ref<const std::string &>().empty();
    if (hasResult) {
        outcome.status = stages::PieceStatus::Done;
        outcome.result = framework::StageResultId(handle->get<std::string>());
        return outcome;
    }
    const auto reason = json.is_object() ? json.find("reason") : json.end();
    const std::string text =
        reason != json.end() && reason->is_string() ? reason->get<std::string>() : std::string();
    if (text == "late") {
        outcome.status = stages::PieceStatus::DeadlineExceeded;
    } else if (text == "gone") {
        outcome.status = stages::PieceStatus::InputMissing;
    } else if (text == "room") {
        outcome.status = stages::PieceStatus::StorageFull;
    }
    return outcome;
}

} // namespace

framework::Result<std::string> encodePieceOrders(const std::vector<stages::PieceRequest> &pieces)
{
    nlohmann::json items = nlohmann::json::array();
    for (const stages::PieceRequest &piece : pieces) {
        const bool isInputMissing =
            std::any_of(piece.inputs.begin(), piece.inputs.end(),
                        [](const framework::StageResultId &input) { return input.isEmpty(); });
        if (isInputMissing) {
            return framework::leaf::new_error(
                EncodeError::InputMissing,
                framework::ErrorContext{"piece " + std::to_string(piece.piece) + " of stage "
                                        + std::to_string(piece.stage) + " of request "
                                        + piece.request.value()});
        }
        nlohmann::json item = {{"id", piece.request.value()},
                               {"stage", piece.stage},
                               {"piece", piece.piece},
                               {"remainingMs", std::max<std::int64_t>(piece.timeLeft.value(), 0)}};
        if (piece.inputs.empty()) {
            item["key"] = piece.input.value();
        } else {
            nlohmann::json inputs = nlohmann::json::array();
            for (const framework::StageResultId &input : piece.inputs) {
                inputs.push_back(input.value());
            }
            item["inputs"] = std::move(inputs);
        }
        items.push_back(std::move(item));
    }
    return nlohmann::json({{"items", std::move(items)}}).dump();
}

std::string encodeResultIds(const std::vector<framework::StageResultId> &results)
{
    nlohmann::json ids = nlohmann::json::array();
    for (const framework::StageResultId &result : results) {
        ids.push_back(result.value());
    }
    return nlohmann::json({{"handleIds", std::move(ids)}}).dump();
}

stages::StageCallOutcome decodeStageAnswer(const http::HttpResponse &response,
                                           std::size_t pieceCount)
{
    stages::StageCallOutcome outcome;
    if (response.end == http::HttpEnd::NotSent) {
        outcome.status = stages::StageCallStatus::Unknown;
        return outcome;
    }
    if (http::isUnsent(response.end)) {
        // The server has not failed: it, or this gateway's share of it, is full.
        outcome.status = stages::StageCallStatus::NotRun;
        return outcome;
    }
    const bool complete = response.end == http::HttpEnd::Complete;
    const bool notExecuted = http::findHeader(response.headers, wire::NotExecuted).has_value()
        || response.status == MisdirectedRequest;
    outcome.rateLimit = decodeRateLimit(response.headers);
    outcome.retryAfter = decodeRetryAfter(response.status, response.headers);
    if (complete && notExecuted) {
        outcome.status = stages::StageCallStatus::NotRun;
        return outcome;
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    const auto items = json.is_object() ? json.find("items") : json.end();
    const bool isForCall = complete && response.status == HttpOk && items != json.end()
        && items->is_array() && items->size() == pieceCount;
    if (!isForCall) {
        return outcome;
    }
    outcome.status = stages::StageCallStatus::Answered;
    for (const auto &item : *items) {
        outcome.pieces.push_back(decodePiece(item));
    }
    return outcome;
}

bool isFreeAnswer(const http::HttpResponse &response)
{
    if (response.end != http::HttpEnd::Complete || response.status != HttpOk) {
        return false;
    }
    const auto json = response.body.empty() ? nlohmann::json::object()
                                            : nlohmann::json::parse(response.body, nullptr, false);
    return json.is_object() && !json.contains("items") && !json.contains("freeMb");
}

std::optional<framework::Bytes> decodeFreeStorage(const http::HttpResponse &response)
{
    constexpr double BytesPerMegabyte = 1e6;
    if (response.end != http::HttpEnd::Complete || response.status != HttpOk) {
        return std::nullopt;
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    const auto free = json.is_object() ? json.find("freeMb") : json.end();
    if (free == json.end() || !free->is_number()) {
        return std::nullopt;
    }
    // A whole number may be rounded down, and some pools have less than a megabyte in all.
    const double rounding = free->is_number_integer() ? 1.0 : 0.0;
    return framework::Bytes(std::llround((free->get<double>() + rounding) * BytesPerMegabyte));
}

} // namespace lavendertally::platform
