#pragma once

// Stand-ins for the second review: clients, servers, the operator and the
// platform, all on loopback addresses, and the record of what they saw.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

/// Seconds since the start of the case.
double Now();
void Sleep(double aSeconds);
/// One line with its time, in record.txt.
void Record(const std::string& aLine);

/// What could not be set up; the case then ends with 2.
struct CannotRun
{
  std::string mWhy;
};

/// Opens record.txt, runs the case and gives its exit status. The case returns
/// true if the rule held.
int RunCase(const std::function<bool(bool aTrouble)>& aCase);

struct Address
{
  std::string mIp;
  int mPort = 0;
  [[nodiscard]] std::string Text() const
  {
    return mIp + ":" + std::to_string(mPort);
  }
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// The value of a field; empty if it is missing.
std::string Field(const Fields& aFields, const std::string& aName);
bool HasField(const Fields& aFields, const std::string& aName);

struct Message
{
  /// Of requests.
  std::string mMethod;
  std::string mTarget;
  /// Of answers; 0 if no whole answer came.
  int mStatus = 0;
  Fields mFields;
  std::string mBody;
};

/// A connection of a client; blocking, each call with a time limit.
class Connection
{
public:
  Connection() = default;
  explicit Connection(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  bool Open(const Address& aTo, double aSeconds = 1);
  bool Send(const std::string& aBytes, double aSeconds = 5);
  /// False if no whole message came.
  bool ReadAnswer(Message& aOut, double aSeconds);
  bool ReadRequest(Message& aOut, double aSeconds);
  void Close();
  [[nodiscard]] bool IsOpen() const { return mDescriptor >= 0; }

private:
  bool Fill(double aUntil);
  bool ReadHead(std::string& aHead, double aUntil);
  bool ReadBody(Message& aOut, double aUntil);

  int mDescriptor = -1;
  std::string mIn;
};

/// The bytes of a request with a body by length.
std::string RequestBytes(const std::string& aMethod,
                         const std::string& aTarget,
                         const Fields& aFields,
                         const std::string& aBody = "");

/// A server of a service, as the pages describe them.
class Server
{
public:
  /// One request that began to run.
  struct Run
  {
    double mAt = 0;
    std::string mRequest;
    std::string mTarget;
  };
  /// What a server does with a request: it returns the status and the body.
  using Work =
    std::function<std::pair<int, std::string>(const Message& aRequest)>;

  Server(std::string aId,
         std::string aService,
         std::string aZone,
         Address aAddress,
         Work aWork);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] std::string Beat(const std::string& aState);
  [[nodiscard]] const std::string& Id() const { return mId; }
  [[nodiscard]] const std::string& Zone() const { return mZone; }
  [[nodiscard]] std::vector<Run> Runs();
  /// Unix milliseconds of its start, by the clock of its machine.
  long long mBorn = 0;
  /// Share of the requests that are turned away though there is room.
  std::atomic<double> mTurnsAway{ 0 };
  /// Share of the answers by which requests are turned away that come a second
  /// time, ahead of the next answer on the connection.
  std::atomic<double> mRepeats{ 0 };
  std::atomic<int> mTurnedAway{ 0 };
  std::atomic<int> mRepeated{ 0 };

private:
  void Accept();
  void Serve(int aDescriptor);
  std::string Answer(const Message& aRequest, bool& aIsTurnedAway);
  /// Waits for a slot; false if the request is turned away.
  bool Enter();
  void Leave();

  std::string mId;
  std::string mService;
  std::string mZone;
  Address mAddress;
  Work mWork;
  int mListener = -1;
  std::atomic<bool> mStopping{ false };
  int mSequence = 0;
  std::mutex mMutex;
  std::condition_variable mLeft;
  int mRunning = 0;
  int mWaiting = 0;
  std::vector<Run> mRuns;
  /// Open connections, each with a thread of its own.
  std::set<int> mDescriptors;
  std::condition_variable mEnded;
  std::thread mAcceptor;
};

/// One machine of the platform with its process.
struct Machine
{
  std::string mName;
  std::string mIp;
  std::string mZone;
  bool mHasDisk = false;
  /// It is added later.
  bool mIsSpare = false;
  pid_t mPid = 0;
  Address mIngress;
  Address mAdmin;
  Address mDirectory;
  Address mReadiness;
};

/// The platform: it fills in the template, starts the processes with the
/// command of the deploy file and ends them.
class Platform
{
public:
  /// `aMachines` machines, of which the first `aDisks` have a disk, over three
  /// zones.
  Platform(int aMachines, int aDisks);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  void Start(Machine& aMachine, bool aBootstrap);
  /// Starts all but the spare ones for the first time.
  void StartAll();
  void Signal(const Machine& aMachine, int aSignal);
  /// Kills a process and waits for its end.
  void Kill(Machine& aMachine);
  /// Kills a process and empties its disk.
  void LoseDisk(Machine& aMachine);
  /// True if the process has ended by itself; it is reaped then, and `aHow`
  /// says how it ended.
  bool HasEnded(Machine& aMachine, std::string* aHow = nullptr);

  [[nodiscard]] std::vector<Machine>& Machines() { return mMachines; }
  /// A loopback address for a stand-in.
  [[nodiscard]] std::string StandInIp(int aIndex) const;
  [[nodiscard]] std::string LogOf(const Machine& aMachine) const;

  int mMemoryMb = 260;
  int mDescriptors = 4100;
  int mToleratedLosses = 1;

private:
  std::string mFolder;
  int mNet = 0;
  int mPort = 0;
  std::vector<std::string> mCommand;
  std::string mTemplate;
  std::vector<Machine> mMachines;
};

/// An order of the operator or a call of a server: sent to one machine after
/// the other until one answers with 200, 400 or 412. Returns the status, 0 if
/// none answered, and tells who did.
int Order(Platform& aPlatform,
          const std::string& aCall,
          const std::string& aOf,
          const std::string& aBody,
          const std::vector<int>& aMachines,
          double aSeconds = 12,
          int* aBy = nullptr);

/// The same call, sent once to one machine. 0 if no answer came in time.
int OrderOnce(const Machine& aMachine,
              const std::string& aCall,
              const std::string& aOf,
              const std::string& aBody,
              double aSeconds = 1,
              Message* aAnswer = nullptr);

/// One route of a configuration.
struct Route
{
  std::string mPrefix;
  std::string mType;
  std::string mTimeout;
  std::string mService;
};

std::string Configuration(int aVersion,
                          int aBase,
                          const std::vector<Route>& aRoutes,
                          const std::vector<std::string>& aServices,
                          const std::string& aIdleTimeout = "15000ms");

/// Starts the machines, puts the first configuration and registers the
/// servers.
void SetUp(Platform& aPlatform,
           const std::string& aConfiguration,
           const std::vector<std::unique_ptr<Server>>& aServers);

/// The machines that were not added later.
std::vector<int> AllOf(Platform& aPlatform);

/// The machine that the processes' own logs name as the leader; only to aim by.
std::size_t FindLeader(Platform& aPlatform);

/// The fields of a client's request on the host name of `Configuration`.
Fields ClientFields(const std::string& aId, int aDeadlineMs);

} // namespace review
