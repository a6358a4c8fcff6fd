#pragma once

#include "http_server.h"

#include <deque>
#include <string>

namespace geraniumpond::frontend {

/// \brief One client's connection.
class HttpServer::Connection : public Handler
{
public:
  Connection(HttpServer& aServer,
             std::uint64_t aId,
             const Poco::Net::StreamSocket& aSocket,
             std::string aSender);
  void OnPeerClosed() override;
  void OnReadable() override;
  void OnWritable() override;
  /// \brief Answers an exchange, once those before it are answered.
  void Respond(std::uint64_t aExchange,
               const HttpResponse& aResponse,
               double aBytesPerSecond);
  /// \brief Ends a request in part or an idle time that has timed out.
  void CheckTimeouts(Micros aNow);
  void CloseIfIdle();
  [[nodiscard]] std::uint64_t Id() const noexcept { return mId; }
  /// \brief True while answers are being sent, or the client has not closed
  /// yet.
  [[nodiscard]] bool HasUnsentAnswers() const;
  [[nodiscard]] bool HasQueuedBytes() const { return mSocket.Unsent() > 0; }
  /// \brief Bytes of answers that are not sent yet.
  [[nodiscard]] std::uint64_t AnswerBytes() const;
  /// \brief Closes a connection whose client does not read its answers.
  void GiveUpAnswer(const char* aReason);
  /// \brief True if this connection is closed sooner than the other, if any,
  /// where there are too many.
  [[nodiscard]] bool IsGivenUpBefore(const Connection* aOther) const;
  void GiveUpForAnother() { Close(); }

private:
  /// \brief A request that was read and whose answer has not been sent.
  struct Pending
  {
    std::uint64_t mExchange = 0;
    bool mHeadOnly = false;
    bool mClose = false;
    bool mAnswered = false;
    std::string mBytes;
    double mBytesPerSecond = 0;
    /// Held of the request, wherever it is, until it is answered.
    std::uint64_t mRequestBytes = 0;
  };

  /// \brief Hands on the requests that have been read.
  void ReadRequests();
  [[nodiscard]] bool MayReadRequest() const;
  /// \brief Hands on one request; false if no whole one is left.
  [[nodiscard]] bool ReadRequest();
  /// \brief Pauses or resumes reading.
  void UpdateReading();
  /// \brief Answers what was read with an error, after the answers owed.
  void RejectMalformed(int aStatus, const std::string& aReason);
  /// \brief Refuses what was read, after the answers owed.
  void Refuse(const HttpRequest& aRequest);
  /// \brief Answers once all before it are answered, and closes.
  void AnswerAndClose(const HttpResponse& aResponse);
  /// \brief Forgets what came behind the last request that is answered.
  void DropInput();
  /// \brief Counts what the connection holds now.
  void UpdateHeld();
  [[nodiscard]] bool MayHoldMore() const;
  /// \brief When, and after which byte, the time began in which the least bytes
  /// have to come or go.
  struct Progress
  {
    Micros mSince = 0;
    std::uint64_t mBytes = 0;
  };
  /// \brief True if fewer than the least have for that long, of `aBytes` now;
  /// the time begins anew when they have.
  [[nodiscard]] static bool HasStopped(Progress& aProgress,
                                       std::uint64_t aBytes,
                                       Micros aNow,
                                       Micros aBound);

  /// \brief How much is lost if it is closed: less first.
  enum class Worth
  {
    Closing,
    Idle,
    Reading,
    Handled
  };
  [[nodiscard]] Worth WorthNow() const;
  /// \brief True while a request has come in part.
  [[nodiscard]] bool IsReadingMessage() const;
  /// \brief Times a head as a whole, and a body by what comes of it.
  void TimeMessage();
  [[nodiscard]] bool IsMessageLate(Micros aNow);
  /// \brief True if the client has read hardly anything of what is being sent
  /// for longer than it may stay idle.
  [[nodiscard]] bool HasStalled(Micros aNow);
  /// \brief Sends the answers whose turn it is.
  void SendAnswered();
  void PaceIfLarge(const Pending& aPending);
  /// \brief Forgets requests that will not be answered.
  void DropPending();
  /// \brief Goes on after an answer or a part of one was sent.
  void ContinueAfterSend();
  /// \brief Closes the sending direction and waits for the client to close.
  void BeginLingeringClose();
  void Close();

  HttpServer& mServer;
  std::uint64_t mId = 0;
  BufferedSocket mSocket;
  /// Address of the client.
  std::string mSender;
  RequestReader mReader;
  /// In the order of their answers.
  std::deque<Pending> mPending;
  std::uint64_t mHeldBytes = 0;
  Micros mLastActivityAt = 0;
  Moment mOpened;
  /// What is read now was sent after this step.
  std::uint64_t mSentAfterStep = 0;
  Progress mSending;
  /// When the head or body that is being read began; 0 if none is.
  Micros mMessageSince = 0;
  bool mIsTimingBody = false;
  Progress mReceiving;
  bool mClosing = false;
  bool mLingering = false;
  bool mPeerClosed = false;
  bool mIsReadingPaused = false;
  bool mIsReadingRequests = false;
};

} // namespace geraniumpond::frontend
