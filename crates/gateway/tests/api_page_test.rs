use gateway::prelude::*;

const PAGE: &str = include_str!("../../../docs/API.md");

/// The page's examples: what each is of, and its JSON.
fn examples() -> Vec<(String, Value)> {
    let blocks = PAGE.split("```json ").skip(1);
    blocks
        .map(|b| {
            let (of, rest) = b.split_once('\n').unwrap();
            let text = rest.split_once("```").unwrap().0;
            (of.trim().to_owned(), serde_json::from_str(text).unwrap_or_else(|e| panic!("{of}: {e}")))
        })
        .collect()
}

/// Reads an example as its type and writes it again: no field more, no field less.
fn same<T: DeserializeOwned + Serialize>(of: &str, v: &Value) {
    let t: T = serde_json::from_value(v.clone()).unwrap_or_else(|e| panic!("{of}: {e}"));
    assert_eq!(serde_json::to_value(t).unwrap(), *v, "{of}");
}

/// Reads an example as a body that the path completes.
fn body<T: DeserializeOwned>(of: &str, v: &Value) {
    serde_json::from_value::<T>(v.clone()).unwrap_or_else(|e| panic!("{of}: {e}"));
}

#[test]
fn each_example_is_what_the_code_speaks() {
    let mut seen = Vec::new();
    for (of, v) in examples() {
        match of.as_str() {
            "error" => {
                let e: CallError = serde_json::from_value(v.clone()).unwrap();
                assert_eq!(v["message"], e.to_string());
            }
            "request=DrainWorker" => body::<DrainWorker>(&of, &v),
            "request=RemoveWorker" => body::<RemoveWorker>(&of, &v),
            "request=EvacuateZone" => body::<EvacuateZone>(&of, &v),
            "request=SubmitJob" => {
                same::<SubmitJob>(&of, &v);
                assert!(serde_json::from_value::<JobSpec>(v).unwrap().faults().is_empty());
            }
            "request=RegisterWorker" => same::<RegisterWorker>(&of, &v),
            "request=PutConfiguration" => same::<PutConfiguration>(&of, &v),
            "request=Start" => same::<StartOrder>(&of, &v),
            "request=Stop" => same::<StopOrder>(&of, &v),
            "request=Hold" => same::<HoldOrder>(&of, &v),
            "answer=Start" => same::<StartAnswer>(&of, &v),
            "answer=Stop" => same::<StopAnswer>(&of, &v),
            "answer=Hold" => same::<HoldAnswer>(&of, &v),
            "answer=SubmitJob" => same::<<SubmitJob as ControlCall>::Answer>(&of, &v),
            "answer=CancelJob" => same::<<CancelJob as ControlCall>::Answer>(&of, &v),
            "answer=GetJob" => same::<<GetJob as ControlCall>::Answer>(&of, &v),
            "answer=ListJobs" => same::<<ListJobs as ControlCall>::Answer>(&of, &v),
            "answer=ExplainJob" => same::<<ExplainJob as ControlCall>::Answer>(&of, &v),
            "answer=RegisterWorker" => same::<<RegisterWorker as ControlCall>::Answer>(&of, &v),
            "answer=DrainWorker" => same::<<DrainWorker as ControlCall>::Answer>(&of, &v),
            "answer=RemoveWorker" => same::<<RemoveWorker as ControlCall>::Answer>(&of, &v),
            "answer=ListWorkers" => same::<<ListWorkers as ControlCall>::Answer>(&of, &v),
            "answer=EvacuateZone" => same::<<EvacuateZone as ControlCall>::Answer>(&of, &v),
            "answer=GetConfiguration" => {
                assert_eq!(v["digest"], tree_digest(&v["tree"]));
                same::<<GetConfiguration as ControlCall>::Answer>(&of, &v);
            }
            "answer=PutConfiguration" => same::<<PutConfiguration as ControlCall>::Answer>(&of, &v),
            "answer=GetConfigurationHistory" => same::<<GetConfigurationHistory as ControlCall>::Answer>(&of, &v),
            "answer=GetEffectiveSettings" => same::<<GetEffectiveSettings as ControlCall>::Answer>(&of, &v),
            "answer=ListQueues" => same::<<ListQueues as ControlCall>::Answer>(&of, &v),
            "answer=ListMembers" => same::<<ListMembers as ControlCall>::Answer>(&of, &v),
            "answer=RemoveMember" => same::<<RemoveMember as ControlCall>::Answer>(&of, &v),
            "answer=TransferLeadership" => same::<<TransferLeadership as ControlCall>::Answer>(&of, &v),
            "answer=GetClusterStatus" => same::<<GetClusterStatus as ControlCall>::Answer>(&of, &v),
            _ => panic!("{of}: of nothing known"),
        }
        seen.push(of);
    }
    // Nineteen calls and three orders have their answer on the page, once.
    let mut answers: Vec<&String> = seen.iter().filter(|s| s.starts_with("answer=")).collect();
    answers.sort();
    answers.dedup();
    assert_eq!((answers.len(), seen.iter().filter(|s| s.starts_with("answer=")).count()), (22, 22));
}
