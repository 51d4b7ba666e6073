//! The fair part of each replica: by weight, but none more than whole.

/// What part of the routers' weight each of these replicas should see if every router picks `picks` of them: in
/// proportion to weight, except that none sees more than all; what a heavy one can't take goes to the others.
pub(crate) fn parts(weights: &[f64], picks: usize) -> Vec<f64> {
    let mut parts = vec![0.0; weights.len()];
    let mut open: Vec<usize> = (0..weights.len()).collect();
    let mut left = picks.min(weights.len()) as f64;
    loop {
        let sum: f64 = open.iter().map(|i| weights[*i]).sum();
        let whole = |i: &usize| weights[*i] * left >= sum;
        if !open.iter().any(whole) || open.is_empty() {
            open.iter().for_each(|i| parts[*i] = weights[*i] * left / sum);
            return parts;
        }
        let full: Vec<usize> = open.iter().copied().filter(whole).collect();
        open.retain(|i| !full.contains(i));
        left -= full.len() as f64;
        full.into_iter().for_each(|i| parts[i] = 1.0);
    }
}
