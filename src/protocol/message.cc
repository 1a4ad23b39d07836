/** @file message.cc Construction, copying and destruction of messages. */
#include "protocol/message.h"

#include <utility>

namespace gv {

Message::Message() = default;
Message::Message(const Message& other) = default;
Message::Message(Message&& other) noexcept = default;
Message& Message::operator=(const Message& other) = default;
Message& Message::operator=(Message&& other) noexcept = default;
Message::~Message() = default;

template <MessageBody T>
Message::Message(T body)
    : MessageVariant(std::in_place_type<T>, std::move(body)) {}

template Message::Message(Tick);
template Message::Message(StopRequest);
template Message::Message(StopReady);
template Message::Message(PeerDown);
template Message::Message(PeerAddress);
template Message::Message(VoteRequest);
template Message::Message(VoteReply);
template Message::Message(AppendRequest);
template Message::Message(AppendReply);
template Message::Message(SnapshotChunk);
template Message::Message(SnapshotReply);
template Message::Message(DiskSaveVote);
template Message::Message(DiskAppend);
template Message::Message(DiskSaveSnapshot);
template Message::Message(DiskSynced);
template Message::Message(DiskFailed);
template Message::Message(SettingsChange);
template Message::Message(SessionRenew);
template Message::Message(SessionGrant);
template Message::Message(SessionRedirect);
template Message::Message(SettingsDelta);
template Message::Message(SettingsSnapshot);
template Message::Message(OperatorCall);
template Message::Message(OperatorReply);
template Message::Message(ShareRequest);
template Message::Message(ShareGrant);
template Message::Message(TargetAnnounce);
template Message::Message(TargetAdmit);
template Message::Message(TargetUpdate);
template Message::Message(AgentHello);
template Message::Message(CreditGrant);
template Message::Message(LoadReport);
template Message::Message(CacheReport);
template Message::Message(CallerRequest);
template Message::Message(CallerGone);
template Message::Message(CallerChunk);
template Message::Message(CallerEnd);
template Message::Message(Dispatch);
template Message::Message(StreamChunk);
template Message::Message(StreamEnd);
template Message::Message(Cancel);
template Message::Message(PauseStream);
template Message::Message(StreamKeepalive);
template Message::Message(TestifyRequest);
template Message::Message(TestifyReply);
template Message::Message(TargetCall);
template Message::Message(TargetControl);
template Message::Message(TargetChunk);
template Message::Message(TargetEnd);
template Message::Message(TargetProbe);
template Message::Message(TargetStatus);
template Message::Message(TargetRelease);
template Message::Message(ClaimBegin);
template Message::Message(ClaimReply);
template Message::Message(ClaimFinish);
template Message::Message(ClaimFinished);
template Message::Message(GroupRequest);
template Message::Message(GroupReply);
template Message::Message(GroupRenew);
template Message::Message(GroupHold);
template Message::Message(GroupHeld);
template Message::Message(TargetReserve);
template Message::Message(TargetReserved);
template Message::Message(RegistryPoll);
template Message::Message(RegistryStatus);
template Message::Message(ConfigurationPush);
template Message::Message(TargetGossip);
template Message::Message(ChangeForward);
template Message::Message(ChangeOutcome);
template Message::Message(ReadForward);
template Message::Message(ReadOutcome);
template Message::Message(GatewayLoad);
template Message::Message(PromptAsk);
template Message::Message(PromptPlaced);
template Message::Message(PromptRefused);
template Message::Message(PromptStep);
template Message::Message(PromptQueued);
template Message::Message(TargetsHeard);
template Message::Message(TargetsSilent);
template Message::Message(TargetQuery);
template Message::Message(RetryAsk);
template Message::Message(RetryReply);
template Message::Message(EngineCrash);
template Message::Message(PartsAnswered);
template Message::Message(PartTable);
template Message::Message(LimitReport);
template Message::Message(LimitAsk);
template Message::Message(LimitReply);
template Message::Message(LeavingNotice);
template Message::Message(LeavingNoted);
template Message::Message(EvacuationPush);
template Message::Message(EvacuationForward);

}  // namespace gv
