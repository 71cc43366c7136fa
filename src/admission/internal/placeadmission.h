#pragma once

#include "admission/internal/serviceplaces.h"
#include "admission/iplaceadmission.h"
#include "admission/types/placelimits.h"

#include <map>
#include <memory>

namespace lavendertally::admission {

/// Place admission of all services of a gateway.
class PlaceAdmission final : public IPlaceAdmission
{
public:
    PlaceAdmission(const IServiceCapacity &capacity, framework::IRandom &random,
                   const PlaceLimits &limits);

    PlaceDecision offer(const PlaceRequest &request, framework::TimePoint now) override;
    void cancelWaiting(const PlaceRequest &request) override;
    void callStarted(const framework::ServiceId &service, const framework::BackendServerId &server,
                     framework::TimePoint now) override;
    void callEnded(const framework::ServiceId &service, const framework::BackendServerId &server,
                   bool isRefused, framework::TimePoint now) override;
    void answered(const PlaceRequest &request, framework::Milliseconds serviceTime,
                  framework::TimePoint now) override;
    void observeLoad(const framework::ServiceId &service, const framework::BackendServerId &server,
                     const ReportedLoad &load, framework::TimePoint now) override;
    void observeNoLoad(const framework::ServiceId &service, framework::TimePoint now) override;
    ReturnTiming noteArrival(const PlaceRequest &request, framework::TimePoint now) override;
    framework::Milliseconds returnTime(const PlaceRequest &request, framework::Milliseconds wait,
                                       framework::TimePoint now) override;
    std::vector<PlaceDecision> takeDecisions(framework::TimePoint now) override;
    framework::TimePoint nextWake(framework::TimePoint now) const override;

private:
    ServicePlaces &places(const framework::ServiceId &service);

    const IServiceCapacity &m_capacity;
    framework::IRandom &m_random;
    PlaceLimits m_limits;
    std::map<framework::ServiceId, std::unique_ptr<ServicePlaces>> m_services;
};

} // namespace lavendertally::admission
